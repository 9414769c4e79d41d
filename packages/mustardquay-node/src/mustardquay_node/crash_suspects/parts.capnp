@0xd2a7c4f1906be35a;
# Notices between gateways of parts of prompts that crash engines;
# mustardquay.crashing_parts documents their meaning.

# Parallel lists of numbers instead of lists of structs, which take ten times as long to
# read in Python.
struct Notice {
  # Notices of another layout are ignored.
  layout @0 :UInt16;
  sender @1 :Text;
  parts @2 :List(UInt64);
  remainingSeconds @3 :List(UInt16);
  # How many of `starts` belong to each part: first those that crashed, then those that
  # answered.
  crashed @4 :List(UInt8);
  answered @5 :List(UInt8);
  starts @6 :List(UInt32);
  # The highest position of each part in prompts.
  depths @7 :List(UInt8);
  # Whether each part crashed an engine without the refused parts that it had come with.
  # Missing in notices of earlier versions.
  crashedApart @8 :List(Bool);
}
