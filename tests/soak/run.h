#ifndef BASILSPREAD_TESTS_SOAK_RUN_H_
#define BASILSPREAD_TESTS_SOAK_RUN_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_client_loop.h"
#include "http_loop.h"
#include "soak/event.h"
#include "soak/processes.h"
#include "soak/world.h"
#include "support/proxy.h"

namespace soak {

struct RunOptions {
  WorldOptions world;
  std::size_t processes = 6;
  std::size_t workers = 40;
  /// Logs and settings of the processes.
  std::string folder;
};

/// Carries the world's effects out, and brings it the events: one control
/// thread, and others for the traffic.
class Run {
 public:
  explicit Run(const RunOptions& run_options);
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  /// Until the run is over, or `is_interrupted` says so.
  void Play(const std::function<bool()>& is_interrupted);
  const World& GetWorld() const { return *this->world; }
  TimePoint Began() const { return this->began; }

 private:
  struct DueAnswer {
    standin::CallId call;
    standin::PayloadPtr answer;
  };

  /// Takes loopback addresses that no other program has.
  void TakeNet();
  void Listen();
  void Post(Event event);
  void Reduce(const Event& event);
  void Carry(const standin::AnswerCall& effect);
  void Carry(const SendCall& effect);
  void Carry(const StartHost& effect);
  void Carry(const SignalHost& effect);
  void Carry(const RewriteSettings& effect);
  void Carry(const SuspendClock& effect);
  void Carry(const ChangeLink& effect);
  void GiveDueAnswers();

  const RunOptions options;
  /// The first two numbers of the loopback addresses.
  std::string net;
  const TimePoint began;
  Addresses addresses;
  std::unique_ptr<Processes> processes;
  std::unique_ptr<World> world;
  std::multimap<TimePoint, DueAnswer> due_answers;
  std::mutex mutex;
  std::condition_variable has_events;
  std::deque<Event> events;
  // The threads of the traffic end before what they post to.
  test::Proxy proxy;
  std::unique_ptr<basilspread::node::HttpLoop> stand_ins;
  basilspread::node::HttpClientLoop clients;
};

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_RUN_H_
