@0xb7e21c5a9d3f4408;
# Datagrams between gateways; mustardquay.peer_books says what they mean.

struct EngineWork {
  engine @0 :Text;
  # Prompts that the sender had the engine begin to read and that aren't read yet, by
  # rank; ranks that are missing at the end have none.
  readMicroseconds @1 :List(UInt32);
  running @2 :UInt16;
}

struct PlacedPart {
  # Position of the engine in the list of this datagram's engines.
  engine @0 :UInt16;
  part @1 :UInt64;
  tokens @2 :UInt32;
}

struct Crash {
  upstream @0 :Text;
  boot @1 :Text;
}

struct CrashRecord {
  fingerprint @0 :UInt64;
  crashes @1 :List(Crash);
  cleared @2 :List(Crash);
  remainingMilliseconds @3 :UInt32;
}

struct PoolSpeeds {
  service @0 :Text;
  samples @1 :Float32;
  # Coefficients in seconds, as mustardquay.engine_models orders them.
  read @2 :List(Float32);
  first @3 :List(Float32);
}

struct RateLimit {
  upstream @0 :Text;
  perSecond @1 :Float32;
  ageMilliseconds @2 :UInt32;
}

struct ServiceDemand {
  service @0 :Text;
  perSecond @1 :Float32;
}

struct Digest {
  gateway @0 :Text;
  incarnation @1 :UInt64;
  # Rises by one with each datagram of an incarnation.
  number @2 :UInt64;
  configuration @3 :UInt64;
  engines @4 :List(EngineWork);
  placed @5 :List(PlacedPart);
  # Engines that the sender has ordered to change their stage.
  changing @6 :List(Text);
  crashes @7 :List(CrashRecord);
  speeds @8 :List(PoolSpeeds);
  availabilityZone @9 :Text;
  ready @10 :Bool;
  # For a gateway that stops: the time that it has at most.
  stopping @11 :Bool;
  endsInMilliseconds @12 :UInt32;
  limits @13 :List(RateLimit);
  # Whether the sender knows of a limit, so that its demands count.
  tellsDemands @14 :Bool;
  demands @15 :List(ServiceDemand);
}
