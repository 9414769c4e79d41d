@0xb7e21c5a9d3f4408;
# Datagrams between gateways; mustardquay.peer_digests documents their meaning.

struct Crash {
  upstream @0 :Text;
  boot @1 :Text;
}

struct CrashRecord {
  fingerprint @0 :UInt64;
  crashes @1 :List(Crash);
  cleared @2 :List(Crash);
  remainingMilliseconds @3 :UInt32;
  # Key of the text that the caller wrote; 0 for none.
  text @4 :UInt64;
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

# The newest load report of an upstream. Absent figures are negative.
struct CapacityNotice {
  upstream @0 :Text;
  running @1 :Int32;
  waiting @2 :Int32;
  # How many times as long work takes as usual.
  workTime @3 :Float32;
  ageMilliseconds @4 :UInt32;
  # Answers of a plain upstream since the sender's last notice about it, and the sum of
  # the seconds that they would have taken without a queue at usual speed.
  answers @5 :UInt16;
  answerSeconds @6 :Float32;
}

# How many times as long an engine takes as the mean engine of its service.
struct EngineFactor {
  engine @0 :Text;
  prefill @1 :Float32;
  decode @2 :Float32;
  # Weight of the prefill times and of the pauses behind the factors.
  samples @3 :Float32;
  decodeSamples @4 :Float32;
}

# The recent use of a service by one organisation, in seconds of expected work. An empty
# name is the sum over organisations that are not listed, or that of anonymous callers.
struct OrganisationUse {
  service @0 :Text;
  organisation @1 :Text;
  seconds @2 :Float32;
  # Seconds of work asked for, whether admitted or not.
  demand @3 :Float32;
  anonymous @4 :Bool;
}

# Parallel lists of numbers instead of lists of structs, which take ten times as long to
# read in Python; there are hundreds of datagrams a second.
struct Digest {
  # Datagrams of another layout are ignored.
  layout @0 :UInt16;
  gateway @1 :Text;
  incarnation @2 :UInt64;
  # Sequence number; increases by one with each datagram of an incarnation.
  number @3 :UInt64;
  configuration @4 :UInt64;
  engines @5 :List(Text);
  # Ranks that have outstanding work, and for each engine the microseconds of work at
  # each of these ranks.
  ranks @6 :List(UInt8);
  readMicroseconds @7 :List(UInt32);
  # Running generations, by engine.
  running @8 :List(UInt16);
  # Prompt parts recently placed on engines; each engine by its index in `engines`.
  placedEngines @9 :List(UInt16);
  placedParts @10 :List(UInt64);
  placedTokens @11 :List(UInt32);
  # Engines that the sender has ordered to change their stage.
  changing @12 :List(Text);
  crashes @13 :List(CrashRecord);
  speeds @14 :List(PoolSpeeds);
  availabilityZone @15 :Text;
  ready @16 :Bool;
  # If the gateway is stopping: the time until it has stopped at the latest.
  stopping @17 :Bool;
  endsInMilliseconds @18 :UInt32;
  limits @19 :List(RateLimit);
  # Whether the sender has seen a rate limit, so that `demands` are valid.
  tellsDemands @20 :Bool;
  demands @21 :List(ServiceDemand);
  # Whether the sender could not take more callers.
  busy @22 :Bool;
  capacities @23 :List(CapacityNotice);
  engineFactors @24 :List(EngineFactor);
  uses @25 :List(OrganisationUse);
  # Megabits per second of the sender's link, and its port for forwarded requests.
  linkRate @26 :Float32;
  forwardPort @27 :UInt16;
  # Port at which the sender hands on its configuration.
  relayPort @28 :UInt16;
}
