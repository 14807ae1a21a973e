@0xd2a1f6b3c4e58790;
# Wire form of the shared model structures (base/model.h).

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("persimmon::wire::schema");

struct Location {
  region @0 :Text;
  zone @1 :Text;
  rack @2 :Text;
}

struct Resources {
  accelerators @0 :UInt32;
  cores @1 :UInt32;
  memoryMb @2 :UInt32;
}

struct Guarantee {
  pool @0 :Text;
  workers @1 :UInt32;
  accelerators @2 :UInt32;
  count @3 :UInt32;
}

struct Route {
  name @0 :Text;
  workspace @1 :Text;
  host @2 :Text;
  pathPrefix @3 :Text;
  pool @4 :Text;
  priority @5 :UInt8;
  repeatable @6 :Bool;
  timeoutMs @7 :UInt32;
}

struct Pool {
  name @0 :Text;
  slots @1 :UInt32;
  connections @2 :UInt32;
  maxAttempts @3 :UInt32;
  strategy @4 :Text;
}

struct Workspace {
  name @0 :Text;
  weight @1 :UInt32;
  quotaAccelerators @2 :UInt32;
  guarantees @3 :List(Guarantee);
}

struct Tables {
  version @0 :UInt64;
  routes @1 :List(Route);
  pools @2 :List(Pool);
  workspaces @3 :List(Workspace);
}

struct Announcement {
  id @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  pool @3 :Text;
  place @4 :Location;
  slots @5 :UInt32;
  connections @6 :UInt32;
  capacity @7 :Resources;
  state @8 :UInt8;
}

struct TaskRef {
  job @0 :UInt64;
  attempt @1 :UInt32;
  index @2 :UInt32;
  token @3 :UInt64;
}

struct TaskReport {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  task @2 :TaskRef;
  state @3 :UInt8;
  result @4 :Text;
  usagePercent @5 :UInt32;
}

struct TaskOrder {
  upstream @0 :Text;
  task @1 :TaskRef;
  action @2 :UInt8;
  size @3 :Resources;
  payload @4 :Text;
}

struct JobSpec {
  workspace @0 :Text;
  pool @1 :Text;
  priority @2 :UInt8;
  tasks @3 :UInt32;
  task @4 :Resources;
  declaredSeconds @5 :UInt32;
  repeatable @6 :Bool;
  payload @7 :Text;
}

struct DecisionRecord {
  kind @0 :UInt8;
  atMs @1 :Int64;
  reason @2 :UInt8;
  code @3 :UInt16;
  other @4 :UInt64;
  detail @5 :Text;
}

struct Answer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Text;
}

struct Error {
  code @0 :UInt16; # 0: success
  detail @1 :Text;
  field @2 :Text;
  retryAfterMs @3 :UInt32;
}
