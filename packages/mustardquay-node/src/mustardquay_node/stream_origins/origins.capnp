@0xb7d2f04c9a6e1853;
# Datagrams in which gateways exchange the origins of streams; mustardquay.streams.origins
# documents their meaning.

struct Origin {
  service @0 :Text;
  version @1 :Text;
  keys @2 :List(UInt64);
  # For how much longer the streams can be taken up, one for each key.
  seconds @3 :List(UInt16);
}

struct Message {
  # Messages of another layout are ignored.
  layout @0 :UInt16;
  sender @1 :Text;
  origins @2 :List(Origin);
  # Streams whose origins the sender asks for.
  questions @3 :List(UInt64);
  # Questions that this message answers; those without an origin are not known.
  answered @4 :List(UInt64);
}
