#ifndef BASILSPREAD_TESTS_MAIN_JOB_LEDGER_H_
#define BASILSPREAD_TESTS_MAIN_JOB_LEDGER_H_

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace main_job {

/// What a caller was told in the end.
enum class Outcome { kFinished, kRefused, kUnknown };

/// One request or job as its caller saw it.
struct Entry {
  std::string id;
  Outcome outcome = Outcome::kRefused;
  /// From the first try to the last answer, without the work itself.
  std::chrono::milliseconds waited{};
};

/// What a class of work came to.
struct Tally {
  int submitted = 0;
  int finished = 0;
  int refused = 0;
  int unknown = 0;
  std::chrono::milliseconds p50{};
  std::chrono::milliseconds p99{};
};

/// Collects the callers' entries by class of work. Used from all threads.
class Ledger {
 public:
  void Add(const std::string& work_class, Entry entry);
  std::map<std::string, std::vector<Entry>> Entries() const;

 private:
  mutable std::mutex mutex;
  std::map<std::string, std::vector<Entry>> classes;
};

Tally TallyOf(const std::vector<Entry>& entries);

}  // namespace main_job

#endif  // BASILSPREAD_TESTS_MAIN_JOB_LEDGER_H_
