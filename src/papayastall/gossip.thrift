// Datagrams of the membership protocol. A datagram is a version byte, a
// keyed digest of the rest and one Datagram struct. Fields may be added
// with new numbers; readers ignore numbers that they do not know, and take
// a body kind that they do not know for a carrier of records only.
// An address is 4 or 16 bytes of IP number and 2 of port.

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
}
