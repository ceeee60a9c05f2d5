@0xb1a6c4f0d2e39a57;
# Every message between the processes of the system.  `tools/generate.py`
# writes mangobay/generated/messages.py from this file.

annotation id @0xc0d1a5b7e2f34861 (field) :Text;
# The NewType of mangobay/ids.py that the generated attribute has.

annotation packed @0xc7a2d94b10e6f358 (field) :Void;
# A list of Header in one Data, `name:value` lines: read in one step, where a
# list of structs takes two steps a header on the path of every call.

enum Importance {
  # Lower is shed first.
  background @0;
  normal @1;
  high @2;
  critical @3;
}

enum Outcome {
  answered @0;
  notRun @1;
  unknown @2;
}

enum Reason {
  # Why a call was not answered; `none` goes with `answered`.
  none @0;
  noSuchOperation @1;
  overloaded @2;
  queueTimeout @3;
  deadlineExceeded @4;
  noBackend @5;
  leaving @6;
  noLease @7;
  notOwner @8;
  copyFailed @9;
  keyExpired @10;
  keyReused @11;
  keyRequired @12;
  ownerChanged @13;
  connectionFailed @14;
  connectionBroken @15;
  incompleteAnswer @16;
  backendShed @17;
  tooLarge @18;
  cancelled @19;
  triesExhausted @20;
  callerThrottled @21;
  malformed @22;
  internal @23;
  running @24;
  unauthenticated @25;
  # No workspace has the key of the request.
  quotaExceeded @26;
  # The workspace has used up its quota over all nodes.
  outdatedRoutes @27;
  # The routes document may be older than a key may outlive its removal.
  quotaUnknown @28;
  # Nobody could be asked whether the quota allows the request.
  quarantined @29;
  # Backend servers ended under the request.
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

# ---- node to node: calls ----

struct Hello {
  # First message on every peer connection, both ways.
  host @0 :Text $id("HostId");
  dataCentre @1 :Text $id("DataCentre");
  incarnation @2 :Text $id("Incarnation");
  role @3 :Text;
  protocol @4 :UInt16;
  takesNotices @5 :Bool;
  # It knows QuarantineNotice; older processes end a connection on which one
  # comes.
  takesQueries @6 :Bool;
  # It answers CallQuery, and may send it.
  takesParts @7 :Bool;
  # It knows ReplyPart; older processes get whole replies.
  takesBodies @8 :Bool;
  # It takes calls whose body continues in parts.
}

struct ServerState {
  # What a backend server said of itself in its answers.
  incarnation @0 :Text $id("BackendIncarnation");
  leaving @1 :Bool;
  limited @2 :Bool;
  rateLimit @3 :Float64;
  # Requests a second that it takes from all hosts together, if limited.
}

struct LoadReport {
  # What the receiver's backend server reported of its load.
  running @0 :UInt32;
  waiting @1 :UInt32;
  slots @2 :UInt32;
  pace @3 :UInt32;
  # How long work takes there now, percent of the usual time.
  ageMs @4 :UInt32;
  # Time since the report was true, milliseconds.
  workUs @5 :UInt32;
  # Mean time of a run of the called operation there at usual pace, without
  # the calls that it makes, microseconds; 0 if unknown.
  holdUs @6 :UInt32;
  # Mean time that a run holds a slot there at usual pace, microseconds.
}

struct Call {
  service @0 :Text $id("ServiceName");
  operation @1 :Text $id("OperationName");
  method @2 :Text;
  target @3 :Text;
  headers @4 :Data $packed;
  body @5 :Data;
  caller @6 :Text $id("CallerName");
  importance @7 :Importance;
  depth @8 :UInt16;
  deadlineMs @9 :UInt32;
  # Time left when sent, milliseconds.
  tries @10 :UInt16;
  # Extra tries granted to the receiver for the whole subtree.
  idempotent @11 :Bool;
  key @12 :Text $id("IdempotencyKey");
  traceparent @13 :Text;
  revision @14 :UInt64 $id("Revision");
  callId @15 :Text $id("CallId");
  # One attempt of one hop; fresh for each attempt.
  viewVersion @16 :UInt64 $id("ViewVersion");
  # The sender's view of the service, for owned calls.
  client @17 :Text $id("ClientId");
  # Who entered the call tree, for fairness within an importance.
  tree @18 :Text $id("TreeId");
  # Made by the first node: a caller that chose it would choose who is shed.
  patienceMs @19 :UInt32;
  # Longest useful wait for a slot, milliseconds; 0 leaves it to admission.
  repeat @20 :Bool;
  # A backend server may have seen the call before; its calls are made again.
  workspace @21 :Text $id("WorkspaceName");
  # Of the caller at the root of the tree; empty without one.
  serverStates @22 :List(ServerState);
  # What the sender knows of the receiver's backend server; at most one.
  streamed @23 :Bool;
  # The sender takes a large response in parts.
  continued @24 :Bool;
  # The rest of the body follows in ReplyParts on the stream of the call; its
  # length, if known, is the last header.
  shortened @25 :Bool;
  # The sender stops before the deadline of its caller, and the deadline here is
  # earlier by that.
}

struct Reply {
  outcome @0 :Outcome;
  reason @1 :Reason;
  status @2 :UInt16;
  headers @3 :Data $packed;
  body @4 :Data;
  triesLeft @5 :UInt16;
  # Extra tries handed back to the sender.
  threshold @6 :UInt16;
  # Lowest importance rank the receiver admits now, times 256, plus a fraction.
  inflight @7 :UInt32;
  limit @8 :UInt32;
  retryAfterMs @9 :UInt32;
  host @10 :Text $id("HostId");
  revision @11 :UInt64 $id("Revision");
  serviceMs @12 :UInt32;
  # Time the backend server spent, milliseconds.
  below @13 :UInt16;
  # Lowest level of this operation that the services below it admit.
  crossing @14 :UInt32;
  # Bytes that the calls of one run here carry to other data centres.
  calledBelow @15 :Bool;
  # The run made calls of its own; another attempt would make them again.
  serverStates @16 :List(ServerState);
  # Of the receiver's backend server, if limited or leaving; at most one.
  endIds @17 :List(Text);
  # Ends of backend servers under the call, and under the calls of its run.
  retryThreshold @18 :UInt16;
  # Of a failed run: call trees below this level lack retries further down.
  load @19 :List(LoadReport);
  # Of the receiver's backend server, if it reports a pace; at most one.
  streamed @20 :Bool;
  # The body follows in ReplyPart messages on the same stream.  Its length, if
  # known, is the last header.
}

struct ReplyPart {
  # The next bytes of a streamed body.
  data @0 :Data;
  last @1 :Bool;
  # No further part follows.
  cutOff @2 :Bool;
  # The body is incomplete; only in a last part.
}

struct ReplyCredit {
  # The receiver of a streamed body has consumed bytes of it: the sender may
  # send as many more.
  bytes @0 :UInt32;
}

struct Cancel {
  # The sender no longer wants the answer of the call on this stream.
}

struct CallQuery {
  # What became of a call that was sent on a connection that has gone silent?
  # Answered by the Reply of the call, or by one that it has not run.
  callId @0 :Text $id("CallId");
  timeLeftMs @1 :UInt32;
  # Time left when sent, milliseconds.
}

struct Ping {
  # Sent where answers are awaited and none comes; answered at once.
  answers @0 :Bool;
  # It is the answer to another one.
}

struct Deflated {
  # Stands for another envelope of the same stream.
  envelope @0 :Data;
  # Compressed by zlib.
}

struct Failure {
  # The receiver could not answer the request on this stream.
  text @0 :Text;
}

# ---- node to node: quarantine ----

struct SuspectRequest {
  # A request under which backend servers have ended.
  digest @0 :Data $id("RequestDigest");
  endIds @1 :List(Text);
  # Ends since the last response.
  tests @2 :UInt16;
  # Tests since the last response.
  testInMs @3 :UInt32;
  # Time until the next test, milliseconds.
  answered @4 :Bool;
  # It was answered: the ends that it names count no more; all, if it names none.
  claim @5 :Text $id("BackendEndId");
  # An end that is counted before the request runs; asks to permit the run.
  withdrawn @6 :Bool;
  # The run of the claim has ended no backend server.
  granted @7 :Bool;
  # In a reply: whether the run is permitted.
  retryInMs @8 :UInt32;
  # In a reply: time until it may be asked again, milliseconds; 0 if the receiver
  # knows no claims.
  afterResponse @9 :List(Text);
  # Those of endIds before which the server had responded to the request.
}

struct QuarantineNotice {
  # To the other nodes of a service.  Answered by QuarantineState.
  suspects @0 :List(SuspectRequest);
  # What has changed.
  all @1 :Bool;
  # The sender knows nothing yet and asks for everything.
}

struct QuarantineState {
  suspects @0 :List(SuspectRequest);
  # What the receiver knows: of the same requests, or of all.
}

# ---- node to node: at most once ----

enum OnceState {
  started @0;
  answered @1;
  unknown @2;
}

struct OnceEntry {
  key @0 :Text $id("IdempotencyKey");
  service @1 :Text $id("ServiceName");
  slot @2 :UInt16 $id("Slot");
  digest @3 :Data;
  # Fingerprint of method, target and body.
  state @4 :OnceState;
  runner @5 :Text $id("HostId");
  runnerIncarnation @6 :Text $id("Incarnation");
  ageMs @7 :UInt64;
  # Milliseconds since the entry was made, on the sender's clock.
  status @8 :UInt16;
  headers @9 :Data $packed;
  body @10 :Data;
}

struct SlotFloor {
  # Keys of the slot minted before this are answered `unknown`.
  slot @0 :UInt16 $id("Slot");
  mintedBeforeMs @1 :UInt64;
  # Unix time, milliseconds.
}

struct CopyPut {
  # Owner to holder: keep these entries.  Acknowledged by CopyAck.
  service @0 :Text $id("ServiceName");
  viewVersion @1 :UInt64 $id("ViewVersion");
  entries @2 :List(OnceEntry);
  completeSlots @3 :List(UInt16);
  # Slots of which the holder now has everything the owner has.
  floors @4 :List(SlotFloor);
  # Of the complete slots.
  refused @5 :List(OnceEntry);
  # A leaving process takes back: it announced these starts and refused them.
}

struct CopyAck {
  kept @0 :Bool;
  viewVersion @1 :UInt64 $id("ViewVersion");
  # The holder's own view; newer than the owner's means: refused.
}

struct CopyFetch {
  # New owner to the members of the service.
  service @0 :Text $id("ServiceName");
  viewVersion @1 :UInt64 $id("ViewVersion");
  slots @2 :List(UInt16);
}

struct SlotKnowledge {
  # What a node can vouch for in one slot.
  slot @0 :UInt16 $id("Slot");
  ownedUpto @1 :UInt64 $id("ViewVersion");
  # Newest view under which it was the owner and knew everything; 0: never.
  heldAt @2 :UInt64 $id("ViewVersion");
  # Newest view whose owner gave it everything; 0: never.
}

struct CopyList {
  host @0 :Text $id("HostId");
  incarnation @1 :Text $id("Incarnation");
  entries @2 :List(OnceEntry);
  knowledge @3 :List(SlotKnowledge);
  floors @4 :List(SlotFloor);
}

# ---- node to control ----

struct ServedService {
  name @0 :Text $id("ServiceName");
  slots @1 :UInt32;
}

struct Member {
  host @0 :Text $id("HostId");
  incarnation @1 :Text $id("Incarnation");
  dataCentre @2 :Text $id("DataCentre");
  peerAddress @3 :Text;
  slots @4 :UInt32;
  leaving @5 :Bool;
}

struct ServiceView {
  # Who serves a service, as committed by the control group.
  service @0 :Text $id("ServiceName");
  version @1 :UInt64 $id("ViewVersion");
  members @2 :List(Member);
  active @3 :Bool;
  # Every living member of the former view has seen this one.
  formers @4 :List(FormerView);
  # Views before this one, newest first; at most a fixed number.
  lineageWhole @5 :Bool;
  # `formers` reaches back to the first view of the service.
}

struct FormerView {
  version @0 :UInt64 $id("ViewVersion");
  members @1 :List(Member);
}

struct ViewStep {
  # What one log entry changed in a view.
  version @0 :UInt64 $id("ViewVersion");
  member @1 :Member;
  # Who joined or changed; of one that is gone only the host.
  gone @2 :Bool;
}

struct ViewSteps {
  # Make the newest view of a service out of the one that the node acts by.
  service @0 :Text $id("ServiceName");
  base @1 :UInt64 $id("ViewVersion");
  steps @2 :List(ViewStep);
  active @3 :Bool;
}

struct ViewAck {
  service @0 :Text $id("ServiceName");
  version @1 :UInt64 $id("ViewVersion");
  active @2 :Bool;
  # A leader told the node that this version is active.
  member @3 :Bool;
  # The node is a member of this version, so that it may own slots by it.
}

struct LeaseRenew {
  host @0 :Text $id("HostId");
  incarnation @1 :Text $id("Incarnation");
  dataCentre @2 :Text $id("DataCentre");
  peerAddress @3 :Text;
  serves @4 :List(ServedService);
  leaving @5 :Bool;
  revision @6 :UInt64 $id("Revision");
  # Revision in force at the node.
  interests @7 :List(Text);
  views @8 :List(ViewAck);
  # Views the node acts by.
  newInterests @9 :List(Text);
  # Those of `interests` whose rows the node does not hold yet.
  holdMs @10 :UInt32;
  # A leader with nothing new may keep its answer back this long.
  routes @11 :UInt64 $id("RoutesVersion");
  # Newest routes that the node has.
  everyService @12 :Bool;
  # The node follows the views of all services, not only of its interests.
  keyless @13 :Bool;
  # The node owns no keys: it needs neither former views nor to know which
  # view is active.
  unreadableRoutes @14 :Bool;
  # The node cannot read these routes, and goes on by older ones.
}

struct LeaseGrant {
  granted @0 :Bool;
  ttlMs @1 :UInt32;
  # Counted by the node from when it sent the renewal.
  leader @2 :Text $id("HostId");
  # Whom to ask instead, empty when unknown.
  leaderAddress @3 :Text;
  table @4 :TableUpdate;
  views @5 :List(ServiceView);
  # Only those that differ from what the node said.
  drain @6 :Bool;
  # An operator asked this host to leave.
  routes @7 :RoutesChange;
  # The newest ones where the node has older ones; else without version.
  controlAddresses @8 :List(Text);
  # Peer addresses of the voters, to ask when the leader does not answer.
  viewSteps @9 :List(ViewSteps);
  # In place of a whole view, where the steps from the node's own are known.
  heldMs @10 :UInt32;
  # Since the renewal came the leader has waited this long before a quorum
  # began to confirm it: so much later than sent, all of this was newest.
  term @11 :UInt64 $id("Term");
  # Newest term that the host knows, in which `leader` leads.
}

# ---- configuration ----

struct Operation {
  service @0 :Text $id("ServiceName");
  name @1 :Text $id("OperationName");
  method @2 :Text;
  path @3 :Text;
  importance @4 :Importance;
  idempotent @5 :Bool;
  keyRequired @6 :Bool;
  callers @7 :List(Text);
  # Services that may call it; `*` is every one.
  outside @8 :Bool;
  # Visible to callers from outside.
  deadlineMs @9 :UInt32;
  tries @10 :UInt16;
  targetMs @11 :UInt32;
  # An answer within it has its full worth, milliseconds; 0: none is set.
  largeResponses @12 :Bool;
  # Responses may be too large to be held in memory whole.
}

struct TableUpdate {
  # Makes `revision` out of `base`; base 0 replaces everything.
  revision @0 :UInt64 $id("Revision");
  base @1 :UInt64 $id("Revision");
  changed @2 :List(Operation);
  removed @3 :List(OperationRef);
}

struct OperationRef {
  service @0 :Text $id("ServiceName");
  name @1 :Text $id("OperationName");
}

struct SheetChange {
  # A log entry: the changed rows of one accepted sheet.
  version @0 :Text $id("SheetVersion");
  digest @1 :Data;
  # Fingerprint of the whole sheet.
  operator @2 :Text;
  acceptedMs @3 :UInt64;
  # Unix time at the leader, milliseconds; for the history only.
  changed @4 :List(Operation);
  removed @5 :List(OperationRef);
  base @6 :UInt64 $id("Revision");
  # The rows were compared with this revision; on any other they are refused.
}

struct MemberChange {
  # A log entry: a host joined, changed what it serves, or left.
  member @0 :Member;
  serves @1 :List(ServedService);
  gone @2 :Bool;
  acceptedMs @3 :UInt64;
}

struct DrainChange {
  # A log entry: an operator asked a host to leave.
  host @0 :Text $id("HostId");
  operator @1 :Text;
  acceptedMs @2 :UInt64;
}

struct RoutesChange {
  # A log entry: a whole routes document in the place of the one before.
  version @0 :UInt64 $id("RoutesVersion");
  base @1 :UInt64 $id("RoutesVersion");
  # Accepted only while this is the version in force.
  digest @2 :Data;
  # Fingerprint of the document and its base.
  document @3 :Data;
  # As the operator wrote it, compressed.
  acceptedMs @4 :UInt64;
  credentials @5 :Data;
  # The keys that the document has digests of, compressed.  Nodes get none.
  quotas @6 :List(WorkspaceQuota);
}

struct WorkspaceQuota {
  # Limit of the requests of a workspace over all nodes: a token bucket.
  workspace @0 :Text $id("WorkspaceName");
  rate @1 :Float64;
  # Requests per second.
  burst @2 :Float64;
  # Requests.
}

enum TokenOutcome {
  granted @0;
  denied @1;
  # The quota is used up.
  unavailable @2;
  # This control host may grant nothing now; another one may.
}

struct TokenRequest {
  # Node to control host: may one request of a workspace run?
  workspace @0 :Text $id("WorkspaceName");
  term @1 :UInt64 $id("Term");
  # Term of the leader that granted the unused tokens.
  unused @2 :List(UnusedTokens);
  # Tokens of requests that did not run.
  late @3 :Bool;
  # The caller has waited for longer than the target latency.
}

struct UnusedTokens {
  workspace @0 :Text $id("WorkspaceName");
  count @1 :UInt32;
}

struct TokenReply {
  outcome @0 :TokenOutcome;
  term @1 :UInt64 $id("Term");
  # Of the leader that granted it; 0 from a reserve.
  retryAfterMs @2 :UInt32;
  # Denied: when the next token is likely to be free.
}

struct RoutesAccepted {
  # What is remembered of each accepted document, to acknowledge it again.
  version @0 :UInt64 $id("RoutesVersion");
  digest @1 :Data;
}

enum RoutesOutcome {
  accepted @0;
  outdated @1;
  # Another version is in force than the one it builds on.
  uncertain @2;
  # No quorum confirmed it: it may yet take effect or not.
}

struct RoutesPut {
  # Control host to the leader: an operator's checked document.
  change @0 :RoutesChange;
}

struct RoutesFetch {
  # Control host to the leader: the document in force, confirmed.
}

struct RoutesReply {
  outcome @0 :RoutesOutcome;
  current @1 :RoutesChange;
  # Answers a fetch.
}

struct GroupJoin {
  # A control host that is no voter yet makes itself known.
  address @0 :Text;
}

struct GroupJoinReply {
  addresses @0 :List(Text);
  # Peer addresses of the voters that the receiver knows.
}

struct VoterChange {
  # A log entry: the voters of the control group from here on.
  voters @0 :List(Peer);
  learners @1 :List(Peer);
  # Former voters that may come back; leaders replicate to them.
}

struct Peer {
  host @0 :Text $id("HostId");
  identity @1 :Text $id("DiskId");
  # Made with the data folder; another disk is another voter.
  address @2 :Text;
}

struct Noop {
  # First entry of a term.
}

struct LogEntry {
  index @0 :UInt64 $id("LogIndex");
  term @1 :UInt64 $id("Term");
  union {
    noop @2 :Noop;
    sheet @3 :SheetChange;
    member @4 :MemberChange;
    drain @5 :DrainChange;
    voters @6 :VoterChange;
    routes @7 :RoutesChange;
  }
}

# ---- control to control ----

struct VoteRequest {
  term @0 :UInt64 $id("Term");
  candidate @1 :Text $id("HostId");
  identity @2 :Text $id("DiskId");
  lastIndex @3 :UInt64 $id("LogIndex");
  lastTerm @4 :UInt64 $id("Term");
  prevote @5 :Bool;
  founding @6 :Bool;
  # The candidate knows no voters: asks every host for a brand new group.
}

struct VoteReply {
  term @0 :UInt64 $id("Term");
  granted @1 :Bool;
  identity @2 :Text $id("DiskId");
  host @3 :Text $id("HostId");
}

struct AppendRequest {
  term @0 :UInt64 $id("Term");
  leader @1 :Text $id("HostId");
  prevIndex @2 :UInt64 $id("LogIndex");
  prevTerm @3 :UInt64 $id("Term");
  entries @4 :List(LogEntry);
  commit @5 :UInt64 $id("LogIndex");
  identity @6 :Text $id("DiskId");
  # Disk of the leader.
  address @7 :Text;
  # Peer address of the leader.
  leaving @8 :Bool;
  # The leader stops as planned and leads no more.
}

struct AppendReply {
  term @0 :UInt64 $id("Term");
  matched @1 :Bool;
  lastIndex @2 :UInt64 $id("LogIndex");
  # Matched: newest index known to agree.  Otherwise: where to look next.
  identity @3 :Text $id("DiskId");
  host @4 :Text $id("HostId");
}

struct SnapshotPut {
  # Part of the leader's newest snapshot; each part is a heartbeat as well.
  term @0 :UInt64 $id("Term");
  leader @1 :Text $id("HostId");
  part @2 :Data;
  identity @3 :Text $id("DiskId");
  address @4 :Text;
  lastIndex @5 :UInt64 $id("LogIndex");
  # Of the snapshot.
  offset @6 :UInt64;
  # Of the part in the encoded snapshot, bytes.
  size @7 :UInt64;
  # Of the whole encoded snapshot, bytes.
  checksum @8 :UInt64;
  # Of the whole encoded snapshot.
}

struct SnapshotReply {
  term @0 :UInt64 $id("Term");
  lastIndex @1 :UInt64 $id("LogIndex");
  # Once the snapshot is installed, else 0.
  identity @2 :Text $id("DiskId");
  host @3 :Text $id("HostId");
  received @4 :UInt64;
  # Bytes of the snapshot held so far; the next part starts there.
}

struct HistoryItem {
  revision @0 :UInt64 $id("Revision");
  version @1 :Text $id("SheetVersion");
  digest @2 :Data;
  operator @3 :Text;
  acceptedMs @4 :UInt64;
  changedRows @5 :UInt32;
  removedRows @6 :UInt32;
}

struct MemberRecord {
  member @0 :Member;
  serves @1 :List(ServedService);
  sinceIndex @2 :UInt64 $id("LogIndex");
}

struct Snapshot {
  # The whole state of the control group at lastIndex.
  lastIndex @0 :UInt64 $id("LogIndex");
  lastTerm @1 :UInt64 $id("Term");
  voters @2 :VoterChange;
  operations @3 :List(Operation);
  history @4 :List(HistoryItem);
  members @5 :List(MemberRecord);
  views @6 :List(ServiceView);
  draining @7 :List(Text);
  spentVersions @8 :Data;
  # Fingerprints of the versions that `history` no longer names, 8 bytes each.
  historyCut @9 :UInt64;
  # Accepted sheets that `history` no longer names.
  routes @10 :RoutesChange;
  routesAccepted @11 :List(RoutesAccepted);
}

struct HardState {
  # Synced before a vote or a term is told to anyone.
  term @0 :UInt64 $id("Term");
  votedFor @1 :Text $id("DiskId");
  identity @2 :Text $id("DiskId");
  commit @3 :UInt64 $id("LogIndex");
  # A lower bound of what is committed, as of the last write.
}

# ---- the wire ----

struct Envelope {
  # What one frame holds.  Replies carry the stream of their request.
  stream @0 :UInt64;
  union {
    hello @1 :Hello;
    call @2 :Call;
    reply @3 :Reply;
    cancel @4 :Cancel;
    copyPut @5 :CopyPut;
    copyAck @6 :CopyAck;
    copyFetch @7 :CopyFetch;
    copyList @8 :CopyList;
    leaseRenew @9 :LeaseRenew;
    leaseGrant @10 :LeaseGrant;
    voteRequest @11 :VoteRequest;
    voteReply @12 :VoteReply;
    appendRequest @13 :AppendRequest;
    appendReply @14 :AppendReply;
    snapshotPut @15 :SnapshotPut;
    snapshotReply @16 :SnapshotReply;
    failure @17 :Failure;
    routesPut @18 :RoutesPut;
    routesFetch @19 :RoutesFetch;
    routesReply @20 :RoutesReply;
    groupJoin @21 :GroupJoin;
    groupJoinReply @22 :GroupJoinReply;
    ping @23 :Ping;
    deflated @24 :Deflated;
    tokenRequest @25 :TokenRequest;
    tokenReply @26 :TokenReply;
    quarantineNotice @27 :QuarantineNotice;
    quarantineState @28 :QuarantineState;
    callQuery @29 :CallQuery;
    replyPart @30 :ReplyPart;
    replyCredit @31 :ReplyCredit;
  }
}
