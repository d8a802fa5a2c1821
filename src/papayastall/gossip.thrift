// Datagrams of the membership protocol. A datagram is a version byte, a
// message authentication code of 16 bytes and one Datagram struct. Fields
// may be added with new numbers: readers ignore unknown field numbers, and
// read only the records of a datagram whose body kind is unknown.
// An address is an IP address of 4 or 16 bytes and a port of 2 bytes, in
// network byte order.

struct Member {
  1: binary address,
  2: binary datagram_address,
  3: i64 incarnation,
  4: string failure_domain,
  5: byte state,
  6: list<binary> suspecters,
}

struct Advert {
  1: binary owner,
  2: string service_name,
  3: i32 slots,
  4: i64 version,
}

struct Datagram {
  1: binary sender,
  2: i64 incarnation,
  3: i64 config_index,
  4: i64 digest,
  5: byte kind,
  6: list<Member> members,
  7: list<Advert> adverts,
  8: i32 sequence,
  9: binary target,
  10: i32 number,
  11: binary digests,
  12: bool wants_reply,
  13: i32 next_cursor,
  14: i64 known_index,
  15: binary known_holder,
}
