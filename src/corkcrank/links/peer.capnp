@0xd6a2c1f0b3e49a57;
# Messages between corkcrank processes. Packed encoding; one message for each body.

struct WorkerReport {
  worker  @0 :Text;
  boot    @1 :Text;
  leaving @2 :Bool;
  running @3 :UInt16;
  waiting @4 :UInt16;
  slots   @5 :UInt16;
  models  @6 :List(Text);
  fence   @7 :UInt64;
}

struct Heartbeat {
  member               @0 :Text;
  role                 @1 :Text;
  zone                 @2 :Text;
  address              @3 :Text;
  configurationVersion @4 :UInt64;
  reports              @5 :List(WorkerReport);
}

struct HeartbeatReply {
  configurationVersion @0 :UInt64;
  holder               @1 :Bool;
  intervalMs           @2 :UInt32;
  holderAddress        @3 :Text;
}

struct WorkerLoad {
  index   @0 :UInt16;
  running @1 :UInt16;
  waiting @2 :UInt16;
  slots   @3 :UInt16;
  models  @4 :UInt16;
  leaving @5 :Bool;
  boot    @6 :Text;
}

struct WorkerEntry {
  worker  @0 :Text;
  service @1 :Text;
  zone    @2 :Text;
  address @3 :Text;
  boot    @4 :Text;
  leaving @5 :Bool;
}

struct MemberEntry {
  member  @0 :Text;
  role    @1 :Text;
  address @2 :Text;
}

struct Directory {
  workers     @0 :List(WorkerEntry);
  listVersion @1 :UInt64;
}

struct Membership {
  members @0 :List(MemberEntry);
}

struct ZoneDigest {
  zone                 @0 :Text;
  fence                @1 :UInt64;
  sequence             @2 :UInt64;
  configurationVersion @3 :UInt64;
  directoryHash        @4 :UInt64;
  gateways             @5 :UInt16;
  modelNames           @6 :List(Text);
  loads                @7 :List(WorkerLoad);
  directory            @8 :Directory;
  membershipHash       @9 :UInt64;
  membership           @10 :Membership;
}

struct DigestReply {
  directoryHash        @0 :UInt64;
  configurationVersion @1 :UInt64;
  membershipHash       @2 :UInt64;
}
