@0xc94e1d7a35f0b826;
# Datagrams in which list readers report the list of upstreams;
# mustardquay.list_readers.notices documents their meaning.

struct Row {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  deleted @3 :Bool;
}

struct Notice {
  # Notices of another layout are ignored.
  layout @0 :UInt16;
  sender @1 :Text;
  number @2 :UInt32;
  era @3 :UInt64;
  base @4 :UInt64;
  version @5 :UInt64;
  ageMs @6 :UInt32;
  rows @7 :List(Row);
  part @8 :UInt16;
  parts @9 :UInt16;
  graceMs @10 :UInt32;
  isAway @11 :Bool;
}
