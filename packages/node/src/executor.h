#ifndef BASILSPREAD_NODE_EXECUTOR_H_
#define BASILSPREAD_NODE_EXECUTOR_H_

#include <Poco/ThreadPool.h>

#include <functional>
#include <string>

namespace basilspread::node {

/// Bounded thread pool for blocking calls.
class Executor {
 public:
  Executor(const std::string& name, int max_threads);

  /// Runs the job on a thread of the pool. Returns false if all are busy.
  bool Run(std::function<void()> job);

  int Busy() const { return this->pool.used(); }
  int Capacity() const { return this->pool.capacity(); }

  /// Waits for all running jobs.
  void Join() { this->pool.joinAll(); }

 private:
  Poco::ThreadPool pool;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_EXECUTOR_H_
