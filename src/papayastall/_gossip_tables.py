"""Generated from gossip.thrift by _thrift_generate; do not edit."""

__all__ = ["TABLES"]

# fmt: off
# ruff: noqa
# flake8: noqa
TABLES = {'Member': {1: (18, 'address', False),
            2: (18, 'datagram_address', False),
            3: (10, 'incarnation', False),
            4: (11, 'failure_domain', False),
            5: (3, 'state', False),
            6: (15, 'suspecters', 18, False)},
 'Advert': {1: (18, 'owner', False),
            2: (11, 'service_name', False),
            3: (8, 'slots', False),
            4: (10, 'version', False)},
 'Datagram': {1: (18, 'sender', False),
              2: (10, 'incarnation', False),
              3: (10, 'config_index', False),
              4: (10, 'digest', False),
              5: (3, 'kind', False),
              6: (15, 'members', (12, 'Member'), False),
              7: (15, 'adverts', (12, 'Advert'), False),
              8: (8, 'sequence', False),
              9: (18, 'target', False),
              10: (8, 'number', False),
              11: (18, 'digests', False),
              12: (2, 'wants_reply', False),
              13: (8, 'next_cursor', False),
              14: (10, 'known_index', False),
              15: (18, 'known_holder', False)}}
