#include "basilspread/core/submission_record.h"

namespace basilspread {
namespace {

/// What a record takes beside its texts and lists: fields, their table, the
/// key's prefix and the framing.
constexpr std::size_t kRecordBytes = 256;
constexpr std::size_t kStepBytes = 256;
constexpr std::size_t kTaskBytes = 48;
/// A step's number, or that of a run.
constexpr std::size_t kNumberBytes = 4;

std::size_t TextBytes(const StepSpec& step) {
  return step.required_label.size() + step.data_rack.value.size() +
         step.image.size();
}

struct Measure {
  std::size_t operator()(const AcceptedRecord& record) const {
    const SubmissionSpec& spec = *record.spec;
    // The id stands in the key too.
    std::size_t bytes = kRecordBytes + 2 * spec.id.value.size() +
                        spec.route.value.size() + spec.command.size() +
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
    return kRecordBytes + record.worker.value.size() + record.address.size();
  }
  std::size_t operator()(const WorkerGoneRecord& record) const {
    return kRecordBytes + record.worker.value.size();
  }
};

}  // namespace

std::size_t MaxEncodedBytes(const WorkRecord& record) {
  return std::visit(Measure{}, record);
}

}  // namespace basilspread
