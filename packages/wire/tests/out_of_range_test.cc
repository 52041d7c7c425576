#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "basilspread/core/limits.h"
#include "basilspread/wire/peer_codec.h"
#include "basilspread/wire/record_codec.h"
#include "basilspread/wire/work_codec.h"

namespace basilspread::wire {
namespace {

using std::chrono::seconds;

const ProcessId kSender{NodeName{"entry-1"}, 7};
constexpr Duration kMaxTime = Duration::max();

/// A valid submission of two steps with one change applied.
SubmissionSpecPtr MakeSpec(const std::function<void(SubmissionSpec&)>& change) {
  boost::intrusive_ptr<SubmissionSpec> spec(new SubmissionSpec);
  spec->id = SubmissionId{"5c0e7a21d94b36f8"};
  spec->route = RouteName{"plans"};
  spec->command = "draw";
  spec->steps.resize(2);
  spec->steps[0].demand = {500, 256, 0};
  spec->steps[1].after = {0};
  change(*spec);
  return spec;
}

using Change = std::function<void(SubmissionSpec&)>;

std::vector<Change> InvalidSpecs() {
  return {
      [](SubmissionSpec& spec) { spec.steps[0].count = 4'000'000'000; },
      [](SubmissionSpec& spec) { spec.steps[0].count = 0; },
      [](SubmissionSpec& spec) {
        spec.steps[0].count = limits::kMaxTasks;
        spec.steps[1].count = 1;
      },
      [](SubmissionSpec& spec) { spec.steps.resize(65); },
      [](SubmissionSpec& spec) { spec.steps.clear(); },
      [](SubmissionSpec& spec) { spec.steps[0].after = {0}; },
      [](SubmissionSpec& spec) { spec.steps[0].after = {1}; },
      [](SubmissionSpec& spec) { spec.steps[1].after = {7}; },
      [](SubmissionSpec& spec) { spec.steps[1].after.assign(100'000, 0); },
      [](SubmissionSpec& spec) {
        spec.steps[0].demand = {-1, 0, 0};
      },
      [](SubmissionSpec& spec) {
        spec.steps[0].demand = {0, std::numeric_limits<std::int64_t>::max(), 0};
      },
      [](SubmissionSpec& spec) {
        spec.steps[0].expected_run_time = Duration::min();
      },
      [](SubmissionSpec& spec) { spec.steps[0].expected_run_time = kMaxTime; },
      [](SubmissionSpec& spec) { spec.steps[0].target_latency = kMaxTime; },
      [](SubmissionSpec& spec) {
        spec.steps[0].required_label = std::string(1'000'000, 'x');
      },
      [](SubmissionSpec& spec) {
        spec.steps[0].data_rack.value = std::string(1'000'000, 'x');
      },
      [](SubmissionSpec& spec) {
        spec.steps[0].image = std::string(1'000'000, 'x');
      },
      [](SubmissionSpec& spec) { spec.command = std::string(1'000'000, 'x'); },
      [](SubmissionSpec& spec) { spec.id.value = std::string(300, 'x'); },
      [](SubmissionSpec& spec) { spec.id.value = ""; },
      [](SubmissionSpec& spec) { spec.route.value = std::string(300, 'x'); },
  };
}

bool IsAccepted(const PeerMessage& message) {
  const auto bytes = EncodeFrame(PeerFrame{kSender, message});
  REQUIRE(bytes);
  return static_cast<bool>(DecodeFrame(bytes.value().substr(kLengthBytes)));
}

bool IsAccepted(const WorkRecord& record) {
  const KeyedRecord keyed = EncodeWork(record);
  return static_cast<bool>(DecodeWork(keyed.key, keyed.value.value()));
}

bool IsAccepted(const LogRecord& record) {
  LogBatch batch;
  batch.writer = kSender;
  batch.records = {record};
  return static_cast<bool>(DecodeBatch(EncodeBatch(batch)));
}

SubmissionCall Submit(const SubmissionSpecPtr& spec) {
  SubmissionCall call;
  call.operation = SubmissionOperation::kSubmit;
  call.id = spec->id;
  call.route = spec->route;
  call.spec = spec;
  return call;
}

TEST_CASE("A submission beyond the limits of submit calls is not decoded",
          "[wire][odd]") {
  const SubmissionSpecPtr valid = MakeSpec([](SubmissionSpec&) {});
  CHECK(IsAccepted(PeerMessage(Submit(valid))));
  CHECK(IsAccepted(WorkRecord(AcceptedRecord{valid, {}})));
  int number = 0;
  for (const Change& change : InvalidSpecs()) {
    INFO(number++);
    const SubmissionSpecPtr invalid = MakeSpec(change);
    CHECK_FALSE(IsAccepted(PeerMessage(Submit(invalid))));
    CHECK_FALSE(IsAccepted(WorkRecord(AcceptedRecord{invalid, {}})));
  }
}

TEST_CASE("A policy beyond the limits of the tables is rejected",
          "[wire][odd]") {
  const auto is_accepted = [](const std::function<void(QueuePolicy&)>& change) {
    QueuePolicy policy;
    policy.advice = AdvicePolicy{seconds(1), seconds(1), seconds(1)};
    change(policy);
    return IsAccepted(
        WorkRecord(AcceptedRecord{MakeSpec([](SubmissionSpec&) {}), policy}));
  };
  CHECK(is_accepted([](QueuePolicy&) {}));
  for (const double stretch :
       {-1.0, 1e308, std::numeric_limits<double>::infinity(),
        std::numeric_limits<double>::quiet_NaN()}) {
    CHECK_FALSE(is_accepted(
        [stretch](QueuePolicy& policy) { policy.stretch = stretch; }));
  }
  for (const Duration time : {kMaxTime, Duration::min(), Duration(-1)}) {
    CHECK_FALSE(is_accepted(
        [time](QueuePolicy& policy) { policy.target_latency = time; }));
    CHECK_FALSE(is_accepted(
        [time](QueuePolicy& policy) { policy.advice->decision_time = time; }));
    CHECK_FALSE(is_accepted([time](QueuePolicy& policy) {
      policy.advice->time_per_worker = time;
    }));
    CHECK_FALSE(is_accepted([time](QueuePolicy& policy) {
      policy.advice->ticket_validity = time;
    }));
  }
}

TEST_CASE("An epoch that no fence can hold is rejected", "[wire][odd]") {
  const Epoch highest{limits::kMaxEpoch};
  for (const Epoch epoch : {highest, Epoch{limits::kMaxEpoch + 1}}) {
    const bool fits = epoch == highest;
    HelperReport helper;
    helper.address = "1.1.1.1:1";
    helper.highest_epoch = epoch;
    CHECK(IsAccepted(PeerMessage(helper)) == fits);
    helper.highest_epoch = highest;
    helper.ack.epoch = epoch;
    CHECK(IsAccepted(PeerMessage(helper)) == fits);
    LeaderReport leader;
    leader.ack.epoch = epoch;
    CHECK(IsAccepted(PeerMessage(leader)) == fits);
    CHECK(IsAccepted(PeerMessage(RelayOrders{epoch, {}})) == fits);
    CHECK(IsAccepted(WorkRecord(LeaderRecord{kSender, "1:1", epoch})) == fits);
  }
}

TEST_CASE("A work record has the key of its submission or worker",
          "[wire][odd]") {
  CHECK(IsAccepted(WorkRecord(WorkerRecord{HostName{"i-1"}, "1.1.1.1:1", 1})));
  CHECK(IsAccepted(WorkRecord(ProgressRecord{SubmissionId{"a"}, {}, {}})));
  for (const std::string& name : {std::string(), std::string(300, 'x')}) {
    CHECK_FALSE(IsAccepted(WorkRecord(WorkerRecord{HostName{name}, "1:1", 1})));
    CHECK_FALSE(
        IsAccepted(WorkRecord(ProgressRecord{SubmissionId{name}, {}, {}})));
  }
  // The key of another record kind is rejected.
  const KeyedRecord keyed =
      EncodeWork(WorkerRecord{HostName{"i-1"}, "1.1.1.1:1", 1});
  CHECK_FALSE(DecodeWork("s/i-1", *keyed.value));
  CHECK_FALSE(DecodeWork("p/i-1", *keyed.value));
  const KeyedRecord accepted =
      EncodeWork(AcceptedRecord{MakeSpec([](SubmissionSpec&) {}), {}});
  CHECK(DecodeWork(accepted.key, *accepted.value));
  CHECK_FALSE(DecodeWork("s/another", *accepted.value));
}

TEST_CASE("Progress with more tasks than a submission can have is rejected",
          "[wire][odd]") {
  ProgressRecord record;
  record.id = SubmissionId{"a"};
  record.tasks.resize(limits::kMaxTasks);
  CHECK(IsAccepted(WorkRecord(record)));
  record.tasks.resize(limits::kMaxTasks + 1);
  CHECK_FALSE(IsAccepted(WorkRecord(record)));
  record.tasks.resize(1);
  record.tasks[0].failed_runs.resize(1'000'000);
  CHECK_FALSE(IsAccepted(WorkRecord(record)));
}

TEST_CASE("A worker's record that fits the log is read as it was written",
          "[wire][odd]") {
  const auto make = [](std::size_t runs, std::size_t name_bytes) {
    WorkerRecord record{HostName{"i-1"}, "1.1.1.1:1", 1};
    record.is_closed = true;
    const SubmissionId id{std::string(name_bytes, 'x')};
    for (std::uint32_t i = 0; i < runs; ++i) {
      record.runs.push_back({{id, i, i}, Attempt{i}});
    }
    return record;
  };
  std::size_t fitting = 0;
  for (const std::size_t name_bytes :
       {std::size_t{1}, std::size_t{16}, limits::kMaxNameBytes}) {
    for (const std::size_t runs :
         {std::size_t{0}, std::size_t{1}, limits::kMaxRecordedRuns - 1,
          limits::kMaxRecordedRuns, limits::kMaxRecordedRuns + 1,
          std::size_t{20'000}}) {
      INFO(runs << " runs, names of " << name_bytes << " bytes");
      const WorkerRecord record = make(runs, name_bytes);
      const KeyedRecord keyed = EncodeWork(record);
      if (!FitsLog(record)) {
        CHECK(runs > 1);
        continue;
      }
      ++fitting;
      CHECK(keyed.key.size() + keyed.value->size() <= limits::kMaxRecordBytes);
      const auto read = DecodeWork(keyed.key, *keyed.value);
      REQUIRE(read);
      const auto& worker = std::get<WorkerRecord>(read.value());
      CHECK(worker.is_closed);
      CHECK(worker.runs == record.runs);
    }
  }
  // All up to the bound with short names; the bytes bind with longer ones.
  CHECK(fitting >= 4 + 2 + 2);
  CHECK(FitsLog(make(limits::kMaxRecordedRuns, 16)));
  CHECK_FALSE(FitsLog(make(limits::kMaxRecordedRuns + 1, 16)));
}

TEST_CASE("A key tells what its record is about", "[wire]") {
  CHECK(SubjectOf("s/a") == RecordSubject(SubmissionId{"a"}));
  CHECK(SubjectOf("p/a") == RecordSubject(SubmissionId{"a"}));
  CHECK(SubjectOf("w/i-1") == RecordSubject(HostName{"i-1"}));
  CHECK(SubjectOf("l/front-1") == RecordSubject(NodeName{"front-1"}));
  for (const std::string& key :
       {std::string(), std::string("w"), std::string("w/"), std::string("x/a"),
        "w/" + std::string(limits::kMaxNameBytes + 1, 'x')}) {
    CHECK_FALSE(SubjectOf(key));
  }
}

TEST_CASE("A record takes no more bytes than its upper bound", "[wire][odd]") {
  const auto check = [](const WorkRecord& record) {
    const KeyedRecord keyed = EncodeWork(record);
    // The length fields of the record and of its key.
    constexpr std::size_t kFramingBytes = 5;
    const std::size_t value_bytes = keyed.value ? keyed.value->size() : 0;
    CHECK(kFramingBytes + keyed.key.size() + value_bytes <=
          MaxEncodedBytes(record));
  };
  const std::string name(limits::kMaxNameBytes, 'x');
  const SubmissionId id{name};
  for (const std::size_t count : {0U, 1U, 2U, 64U}) {
    const SubmissionSpecPtr spec = MakeSpec([&](SubmissionSpec& change) {
      change.steps.resize(count);
      change.command = std::string(count * 60, 'x');
      for (std::size_t i = 0; i < count; ++i) {
        change.steps[i].required_label = name;
        change.steps[i].data_rack.value = name;
        change.steps[i].image = name;
        change.steps[i].expected_run_time = seconds(1);
        change.steps[i].target_latency = seconds(1);
        change.steps[i].demand = limits::kMaxResources;
        change.steps[i].max_per_worker = 1;
        change.steps[i].max_unavailable = 1;
        change.steps[i].checkpoints = true;
        change.steps[i].after.assign(i, 0);
      }
    });
    QueuePolicy policy;
    policy.pool.value = name;
    policy.advice = AdvicePolicy{seconds(1), seconds(1), seconds(1)};
    check(AcceptedRecord{spec, policy});
    ProgressRecord progress{id, SubmissionState::kRunning, {}};
    progress.tasks.resize(count * 64, TaskProgress{1, 1, true, {}, Attempt{1}});
    check(progress);
    for (TaskProgress& task : progress.tasks) {
      task.failed_runs.resize(count, Attempt{1});
    }
    check(progress);
    WorkerRecord worker{HostName{name}, name, 7};
    worker.is_closed = true;
    worker.runs.resize(count * 64, RunName{{id, 1, 1}, Attempt{1}});
    check(worker);
    worker.runs.assign(count * 64, RunName{{SubmissionId{"a"}, 1, 1}, {}});
    check(worker);
  }
  check(ForgottenRecord{id});
  check(SpecDroppedRecord{id});
  check(WorkerRecord{HostName{name}, name, 7});
  check(WorkerGoneRecord{HostName{name}});
  check(LeaderRecord{{NodeName{name}, 7}, name, Epoch{7}});
  check(LeaderGoneRecord{NodeName{name}});
}

TEST_CASE("Times out of range are rejected", "[wire][odd]") {
  for (const Duration time : {kMaxTime, Duration::min()}) {
    INFO(time.count());
    Heartbeat heartbeat;
    heartbeat.heard = {HeardReport{kSender, time}};
    CHECK_FALSE(IsAccepted(PeerMessage(heartbeat)));
    ForwardRequest forward;
    forward.time_left = time;
    CHECK_FALSE(IsAccepted(PeerMessage(forward)));
    JobCall call;
    call.time_left = time;
    CHECK_FALSE(IsAccepted(PeerMessage(call)));
    call.time_left = seconds(1);
    call.spec.expected_run_time = time;
    CHECK_FALSE(IsAccepted(PeerMessage(call)));
    call.spec.expected_run_time = seconds(1);
    call.spec.deadline = time;
    CHECK_FALSE(IsAccepted(PeerMessage(call)));
    ReserveTasks reserve;
    reserve.hold_for = time;
    CHECK_FALSE(IsAccepted(PeerMessage(reserve)));
    SubmissionAnswer answer;
    answer.retry_after = time;
    CHECK_FALSE(IsAccepted(PeerMessage(answer)));
    AdviceAnswer advice;
    advice.given.validity = time;
    CHECK_FALSE(IsAccepted(PeerMessage(advice)));
    ReleaseRecord release;
    release.unsettled = time;
    CHECK_FALSE(IsAccepted(LogRecord(release)));
  }
  ForwardRequest late;
  late.time_left = Duration(-5);
  CHECK(IsAccepted(PeerMessage(late)));
}

TEST_CASE("A job beyond the limits of submit calls is not decoded",
          "[wire][odd]") {
  const Resources invalid[] = {
      {-1, 0, 0},
      {0, std::numeric_limits<std::int64_t>::max(), 0},
      {0, 0, std::numeric_limits<std::int64_t>::min()}};
  for (const Resources& amounts : invalid) {
    JobCall call;
    call.spec.tasks = {TaskGroup{1, amounts}};
    CHECK_FALSE(IsAccepted(PeerMessage(call)));
    JobRecord record;
    record.spec = call.spec;
    CHECK_FALSE(IsAccepted(LogRecord(record)));
    ReserveTasks reserve;
    reserve.tasks = {TaskDemand{{}, amounts}};
    CHECK_FALSE(IsAccepted(PeerMessage(reserve)));
    TaskStart start;
    start.reserved = amounts;
    ConfirmTasks confirm;
    confirm.tasks = {start};
    CHECK_FALSE(IsAccepted(PeerMessage(confirm)));
    IntentRecord intent;
    intent.start = start;
    CHECK_FALSE(IsAccepted(LogRecord(intent)));
  }
  JobCall call;
  call.spec.tasks = {TaskGroup{kMaxTasksPerJob, {}}};
  CHECK(IsAccepted(PeerMessage(call)));
  call.spec.tasks = {TaskGroup{4'000'000'000, {}}};
  CHECK_FALSE(IsAccepted(PeerMessage(call)));
  call.spec.tasks = {TaskGroup{kMaxTasksPerJob, {}}, TaskGroup{1, {}}};
  CHECK_FALSE(IsAccepted(PeerMessage(call)));
  Heartbeat heartbeat;
  heartbeat.usage = {TeamUsage{
      TeamName{"a"}, {std::numeric_limits<std::int64_t>::max(), 0, 0}}};
  CHECK_FALSE(IsAccepted(PeerMessage(heartbeat)));
}

}  // namespace
}  // namespace basilspread::wire
