@0xe3c4a8b75d1f2960;
# Datagrams in which gateways exchange the requests that they have counted;
# mustardquay.usage documents their meaning.

struct Count {
  organisation @0 :Text;
  count @1 :UInt32;
}

struct Window {
  window @0 :UInt64;
  # Cumulative counts; may be only some of them.
  counts @1 :List(Count);
  # Whether the sender counts no more in this window, and the sum of all its counts.
  closed @2 :Bool;
  total @3 :UInt32;
}

struct Notice {
  # Notices of another layout are ignored.
  layout @0 :UInt16;
  gateway @1 :Text;
  incarnation @2 :UInt64;
  # The sender's time of day.
  sentMicroseconds @3 :Int64;
  # Whether the sender holds the lease of the reports.
  leads @4 :Bool;
  windows @5 :List(Window);
  # Windows whose reports the platform has accepted.
  delivered @6 :List(UInt64);
}
