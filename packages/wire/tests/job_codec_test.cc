#include <catch2/catch.hpp>

#include "basilspread/wire/peer_codec.h"
#include "basilspread/wire/record_codec.h"

namespace basilspread::wire {
namespace {

const ProcessId kSender{NodeName{"entry-1"}, 7};
const TaskAttempt kName{TaskId{"plan/3"}, Attempt{2}};

JobSpec MakeSpec() {
  JobSpec spec;
  spec.id = JobId{"plan"};
  spec.route = RouteName{"layout"};
  spec.team = TeamName{"braan"};
  spec.priority = -3;
  spec.tasks = {TaskGroup{4, Resources{1500, 2048, 1}}, TaskGroup{}};
  spec.gang = true;
  spec.run = "draw";
  spec.expected_run_time = std::chrono::seconds(40);
  spec.max_attempts = 5;
  return spec;
}

TaskStart MakeStart() {
  return TaskStart{
      kName, HostName{"worker-1"}, Epoch{6}, Resources{1500, 2048, 1}, 9, true,
      "draw"};
}

template <typename Message>
Message RoundTrip(const Message& message) {
  const auto bytes = EncodeFrame(PeerFrame{kSender, PeerMessage(message)});
  REQUIRE(bytes);
  const auto frame = DecodeFrame(bytes.value().substr(kLengthBytes));
  REQUIRE(frame);
  return std::get<Message>(frame.value().message);
}

TEST_CASE("Job messages survive encoding and decoding", "[wire][jobs]") {
  JobCall call;
  call.call = CallId{5};
  call.operation = JobOperation::kWait;
  call.shard = ShardId{"workers#1"};
  call.spec = MakeSpec();
  call.time_left = std::chrono::milliseconds(1500);
  const JobCall read = RoundTrip(call);
  CHECK(read.operation == call.operation);
  CHECK(read.spec == call.spec);
  CHECK(read.time_left == call.time_left);

  ConfirmTasks confirm;
  confirm.hold = HoldId{kSender, 11};
  confirm.home_epoch = Epoch{4};
  confirm.tasks = {MakeStart()};
  const ConfirmTasks confirmed = RoundTrip(confirm);
  CHECK(confirmed.hold == confirm.hold);
  CHECK(confirmed.home_epoch == confirm.home_epoch);
  REQUIRE(confirmed.tasks.size() == 1);
  CHECK(confirmed.tasks[0].name == kName);
  CHECK(confirmed.tasks[0].service);
  CHECK(confirmed.tasks[0].granted_by == Epoch{6});

  TaskReports reports;
  reports.tasks = {TaskReport{kName, HostName{"worker-1"}, false,
                              TaskResult::kStopped, "moved"}};
  CHECK(RoundTrip(reports).tasks.at(0).result == TaskResult::kStopped);

  Heartbeat heartbeat;
  heartbeat.usage = {TeamUsage{TeamName{"braan"}, Resources{1, 2, 3}}};
  CHECK(RoundTrip(heartbeat).usage.at(0).reserved == Resources{1, 2, 3});
}

TEST_CASE("Job records survive encoding and decoding", "[wire][jobs]") {
  LogBatch batch;
  batch.writer = kSender;
  batch.id = AppendId{3};
  JobRecord job;
  job.shard = ShardId{"workers#1"};
  job.epoch = Epoch{2};
  job.spec = MakeSpec();
  job.tasks = {TaskRecord{Attempt{2}, TaskResult::kFailed, 1,
                          HostName{"worker-1"}, ShardId{"workers#0"},
                          Epoch{4}}};
  IntentRecord intent;
  intent.start = MakeStart();
  intent.place = ShardId{"workers#0"};
  OutcomeRecord outcome;
  outcome.name = kName;
  outcome.result = TaskResult::kLost;
  CancelRecord cancel;
  cancel.jobs = {JobId{"a"}, JobId{"b"}};
  batch.records = {job, intent, outcome, cancel};

  const auto decoded = DecodeBatch(EncodeBatch(batch));

  REQUIRE(decoded);
  const auto& records = decoded.value().records;
  REQUIRE(records.size() == 4);
  CHECK(std::get<JobRecord>(records[0]).spec == job.spec);
  CHECK(std::get<JobRecord>(records[0]).tasks.at(0).place ==
        ShardId{"workers#0"});
  CHECK(std::get<IntentRecord>(records[1]).start.reserved ==
        intent.start.reserved);
  CHECK(std::get<OutcomeRecord>(records[2]).result == TaskResult::kLost);
  CHECK(std::get<CancelRecord>(records[3]).jobs == cancel.jobs);
}

}  // namespace
}  // namespace basilspread::wire
