@0xa87c31d0be9f4421;
# Calls between entries and the control leader, and between voters.

using Cxx = import "/capnp/c++.capnp";
using Model = import "model.capnp";
$Cxx.namespace("persimmon::wire::schema");

struct PoolDemand {
  pool @0 :Text;
  queued @1 :UInt32;
  inFlight @2 :UInt32;
}

# Slots of one upstream that the entry may use until the next sync response.
struct SlotShare {
  upstream @0 :Text;
  slots @1 :UInt32;
}

struct SyncRequest {
  entryId @0 :Text;
  entryIncarnation @1 :UInt64;
  place @2 :Model.Location;
  appliedVersion @3 :UInt64;
  viewEpoch @4 :UInt64;     # leader term of the view held; 0: none
  viewSequence @5 :UInt64;  # last applied change of that view
  announcements @6 :List(Model.Announcement); # first or changed announcements
  alive @7 :List(Text);     # upstreams that sent an unchanged announcement since the last call
  reports @8 :List(Model.TaskReport);
  demand @9 :List(PoolDemand);
  stopping @10 :Bool;
  waitMs @11 :UInt32;       # longest time the leader may hold the call without a change
  httpAddress @12 :Text;
}

struct SyncResponse {
  error @0 :Model.Error;
  leaderHint @1 :UInt32;
  leaseMs @2 :UInt32;       # starts when the entry sends the request
  hasTables @3 :Bool;
  tables @4 :Model.Tables;
  viewEpoch @5 :UInt64;
  viewSequence @6 :UInt64;
  fullView @7 :Bool;        # the lists below replace the whole view
  upstreams @8 :List(Model.Announcement); # state 2 (gone) removes the upstream
  orders @9 :List(UpstreamOrders);
  shares @10 :List(SlotShare);
  drain @11 :Bool;          # an operator requested a drain of this entry
  hasShares @12 :Bool;      # false: the current shares stay valid
}

# All orders of one upstream; replaces the orders held for it.
struct UpstreamOrders {
  upstream @0 :Text;
  orders @1 :List(Model.TaskOrder);
}

struct JobView {
  id @0 :UInt64;
  state @1 :UInt8;
  attempt @2 :UInt32;
  spec @3 :Model.JobSpec;
  results @4 :List(Text);   # one for each task of a done job, in order
  code @5 :UInt16;
  records @6 :List(Model.DecisionRecord);
}

enum IntentDecision {
  dispatch @0;    # the caller of recordIntent must dispatch once
  stored @1;      # finished earlier; the answer is attached
  inProgress @2;  # another attempt is in flight
  unknown @3;     # may have run; never dispatched again
}

interface Control {
  sync @0 (request :SyncRequest) -> (response :SyncResponse);
  submitJob @1 (workspaceKey :Text, spec :Model.JobSpec) -> (error :Model.Error, leaderHint :UInt32, id :UInt64);
  getJob @2 (id :UInt64) -> (error :Model.Error, leaderHint :UInt32, job :JobView);
  cancelJob @3 (id :UInt64) -> (error :Model.Error, leaderHint :UInt32);
  recordIntent @4 (workspace :Text, key :Text, digest :UInt64, entryId :Text, entryIncarnation :UInt64)
      -> (error :Model.Error, leaderHint :UInt32, decision :IntentDecision, attempt :UInt64,
          outcome :UInt8, answer :Model.Answer);
  recordOutcome @5 (workspace :Text, key :Text, attempt :UInt64, outcome :UInt8, answer :Model.Answer)
      -> (error :Model.Error, leaderHint :UInt32);
}

interface Peer {
  # Delivers one encoded message of the replicated log. Messages may be lost or duplicated without
  # an error.
  deliver @0 (message :Data) -> ();
}

# Interface served on the RPC address of a voter.
interface Voter extends(Control, Peer) {
  # Starts a graceful shutdown of this voter. Returns before the shutdown begins.
  drain @0 () -> ();

  # Requests that the leader add a node as a voter. Returns before the change is complete.
  join @1 (id :UInt32) -> ();

  # Returns the leader known to this node (0: none) and the voters.
  locate @2 () -> (leader :UInt32, voters :List(UInt32), serving :Bool);

  # Forwards an encoded request to the leader. A node that is not the leader returns not_leader
  # (5001) with its leader hint and doesn't process the request.
  relay @3 (request :Data) -> (code :UInt16, detail :Text, leader :UInt32, response :Data);
}
