#include "executor.h"

#include <Poco/Runnable.h>

#include <memory>
#include <utility>

namespace basilspread::node {
namespace {

constexpr int kMinThreads = 1;
constexpr int kIdleSeconds = 30;

/// Deletes itself after it has run, since POCO's pool does not own its jobs.
class Job : public Poco::Runnable {
 public:
  explicit Job(std::function<void()> job_body) : body(std::move(job_body)) {}

  void run() override {
    const std::unique_ptr<Job> self(this);
    this->body();
  }

 private:
  std::function<void()> body;
};

}  // namespace

Executor::Executor(const std::string& name, int max_threads)
    : pool(name, kMinThreads, max_threads, kIdleSeconds) {}

bool Executor::Run(std::function<void()> job) {
  auto runnable = std::make_unique<Job>(std::move(job));
  try {
    this->pool.start(*runnable);
  } catch (const Poco::NoThreadAvailableException&) {
    return false;
  }
  static_cast<void>(runnable.release());
  return true;
}

}  // namespace basilspread::node
