#include "basilspread/core/submission_record.h"

#include <algorithm>

#include "basilspread/core/limits.h"

namespace basilspread {
namespace {

/// Size of a record without its strings and lists: fields, vtable, key prefix
/// and framing.
constexpr std::size_t kRecordBytes = 256;
constexpr std::size_t kStepBytes = 256;
constexpr std::size_t kTaskBytes = 48;
/// Without the submission's name.
constexpr std::size_t kRunBytes = 44;
/// Size of a step index or run number in a list.
constexpr std::size_t kNumberBytes = 4;

/// Without the names and the histograms, which take a byte for each bucket.
constexpr std::size_t kRunTimeRowBytes = 160;

/// Number of buckets from the first to the last that is not empty.
std::size_t SpanOf(const RunTimeWeights& weights) {
  const auto is_used = [](float weight) { return weight > 0; };
  const auto first = std::find_if(weights.begin(), weights.end(), is_used);
  const auto last = std::find_if(weights.rbegin(), weights.rend(), is_used);
  return first == weights.end() ? 0
                                : static_cast<std::size_t>(last.base() - first);
}

std::size_t TextBytes(const StepSpec& step) {
  return step.required_label.size() + step.data_rack.value.size() +
         step.image.size();
}

struct EncodedSize {
  std::size_t operator()(const AcceptedRecord& record) const {
    const SubmissionSpec& spec = *record.spec;
    // The id is part of the key too.
    std::size_t bytes = kRecordBytes + 2 * spec.id.value.size() +
                        spec.route.value.size() + spec.command.size() +
                        spec.workspace.value.size() +
                        record.policy.pool.value.size();
    for (const StepSpec& step : spec.steps) {
      bytes += kStepBytes + TextBytes(step) + step.after.size() * kNumberBytes;
    }
    return bytes;
  }

  std::size_t operator()(const ProgressRecord& record) const {
    std::size_t bytes = kRecordBytes + record.id.value.size();
    for (const TaskProgress& task : record.tasks) {
      bytes += kTaskBytes + task.failed_runs.size() * kNumberBytes;
    }
    return bytes;
  }

  std::size_t operator()(const ForgottenRecord& record) const {
    return kRecordBytes + record.id.value.size();
  }
  std::size_t operator()(const SpecDroppedRecord& record) const {
    return kRecordBytes + record.id.value.size();
  }
  std::size_t operator()(const WorkerRecord& record) const {
    std::size_t bytes =
        kRecordBytes + record.worker.value.size() + record.address.size();
    for (const RunName& run : record.runs) {
      bytes += kRunBytes + run.task.submission.value.size();
    }
    return bytes;
  }
  std::size_t operator()(const WorkerGoneRecord& record) const {
    return kRecordBytes + record.worker.value.size();
  }
  std::size_t operator()(const LeaderRecord& record) const {
    return kRecordBytes + record.process.node.value.size() +
           record.address.size();
  }
  std::size_t operator()(const LeaderGoneRecord& record) const {
    return kRecordBytes + record.node.value.size();
  }
  std::size_t operator()(const RunTimesRecord& record) const {
    std::size_t bytes = kRecordBytes;
    for (const auto& [key, sketch] : record.rows) {
      bytes += kRunTimeRowBytes + key.route.value.size() + key.image.size() +
               key.workspace.value.size() + SpanOf(sketch.times) +
               SpanOf(sketch.ratios);
    }
    return bytes;
  }
};

}  // namespace

std::size_t MaxEncodedBytes(const WorkRecord& record) {
  return std::visit(EncodedSize{}, record);
}

bool FitsLog(const WorkerRecord& record) {
  return record.runs.size() <= limits::kMaxRecordedRuns &&
         MaxEncodedBytes(record) <= limits::kMaxRecordBytes;
}

}  // namespace basilspread
