@0xb1f3c2a4d5e69713;
# Commands of the replicated ledger, their replies and the ledger's snapshot.

using Cxx = import "/capnp/c++.capnp";
using Model = import "model.capnp";
$Cxx.namespace("persimmon::wire::schema");

struct WorkerGrant {
  worker @0 :Text;
  incarnation @1 :UInt64;
}

struct JobRecord {
  job @0 :UInt64;
  record @1 :Model.DecisionRecord;
}

struct TableChange {
  sign @0 :UInt8;
  row @1 :Text;
}

struct Command {
  atMs @0 :Int64;           # wall-clock time of the proposer
  union {
    applyTables :group {
      tables @1 :Model.Tables;
      expectedVersion @2 :UInt64;
      changeId @3 :Text;
    }
    submitJob :group {
      key @4 :Text;
      spec @5 :Model.JobSpec;
    }
    cancelJob @6 :UInt64;
    grantAttempt :group {
      job @7 :UInt64;
      attempt @8 :UInt32;
      workers @9 :List(WorkerGrant);
      borrowed @10 :Bool;
      reason @11 :Text;
    }
    releaseAttempt :group {
      job @12 :UInt64;
      attempt @13 :UInt32;
      token @14 :UInt64;
    }
    stopAttempt :group {
      job @15 :UInt64;
      attempt @16 :UInt32;
      reason @17 :UInt8;
      worker @18 :Text;
      other @19 :UInt64;
      deadlineMs @20 :UInt32;
    }
    endAttempt :group {
      job @21 :UInt64;
      attempt @22 :UInt32;
    }
    finishJob :group {
      job @23 :UInt64;
      attempt @24 :UInt32;
      token @25 :UInt64;
      results @26 :List(Text);
    }
    endJob :group {
      job @27 :UInt64;
      code @28 :UInt16;
      detail @29 :Text;
    }
    appendRecords @30 :List(JobRecord);
    recordIntent :group {
      workspace @31 :Text;
      key @32 :Text;
      digest @33 :UInt64;
      entryId @34 :Text;
      entryIncarnation @35 :UInt64;
    }
    recordOutcome :group {
      workspace @36 :Text;
      key @37 :Text;
      attempt @38 :UInt64;
      outcome @39 :UInt8;
      answer @40 :Model.Answer;
    }
    expireIntents :group {
      entryId @41 :Text;
      incarnation @42 :UInt64;
    }
    markLeaving :group {
      upstream @43 :Text;
      incarnation @44 :UInt64;
    }
    trim :group {
      jobs @45 :UInt64;     # finished jobs to keep
      beforeMs @46 :Int64;  # finished jobs and intents that ended earlier are removed
    }
  }
}

struct IntentReply {
  decision @0 :UInt8;
  attempt @1 :UInt64;
  outcome @2 :UInt8;
  answer @3 :Model.Answer;
}

struct Reply {
  error @0 :Model.Error;
  value @1 :UInt64;         # job id, version, fencing token or number of records
  changes @2 :List(TableChange);
  intent @3 :IntentReply;
}

struct HistoryItem {
  version @0 :UInt64;
  changeId @1 :Text;
  atMs @2 :Int64;
  summary @3 :Text;
}

struct ChangeAnswer {
  changeId @0 :Text;
  reply @1 :Reply;
}

struct JobEntry {
  id @0 :UInt64;
  key @1 :Text;
  spec @2 :Model.JobSpec;
  state @3 :UInt8;
  attempt @4 :UInt32;
  token @5 :UInt64;
  workers @6 :List(WorkerGrant);
  released @7 :Bool;
  cancelRequested @8 :Bool;
  stopReason @9 :UInt8;
  stopWorker @10 :Text;
  stopDeadlineMs @11 :UInt32;
  results @12 :List(Text);
  code @13 :UInt16;
  endedAtMs @14 :Int64;
  endIndex @15 :UInt64;
  records @16 :List(Model.DecisionRecord);
}

struct IntentEntry {
  workspace @0 :Text;
  key @1 :Text;
  digest @2 :UInt64;
  entryId @3 :Text;
  entryIncarnation @4 :UInt64;
  attempt @5 :UInt64;
  open @6 :Bool;
  outcome @7 :UInt8;
  answer @8 :Model.Answer;
  endedAtMs @9 :Int64;
  endIndex @10 :UInt64;
}

struct LeavingMark {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  index @2 :UInt64;
}

struct Snapshot {
  wallMs @0 :Int64;
  tables @1 :Model.Tables;
  history @2 :List(HistoryItem);
  changes @3 :List(ChangeAnswer);
  jobs @4 :List(JobEntry);
  intents @5 :List(IntentEntry);
  leaving @6 :List(LeavingMark);
}
