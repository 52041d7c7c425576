#include "soak/run.h"

#include <Poco/Exception.h>
#include <fmt/format.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

#include "platform/bounds.h"
#include "soak/peer_address.h"

namespace soak {
namespace {

using basilspread::node::HttpLoop;
using std::chrono::milliseconds;

/// How fine the stand-ins' times are.
constexpr milliseconds kTick(5);
constexpr milliseconds kMeasureInterval(500);
constexpr milliseconds kReapInterval(20);
constexpr std::size_t kWorkersOfNet = 200;
constexpr std::size_t kZones = 3;
constexpr std::uint16_t kStandInPort = 7000;
constexpr std::size_t kMostConnections = 8000;

/// The second number of the loopback addresses. Programs side by side begin at
/// different ones.
constexpr int kFirstNet = 16;
constexpr int kNets = 224;

}  // namespace

Run::Run(const RunOptions& run_options)
    : options(run_options), began(std::chrono::steady_clock::now()) {
  this->TakeNet();
  this->Listen();
  this->processes =
      std::make_unique<Processes>(this->options.folder, this->addresses.hosts);
  this->world = std::make_unique<World>(this->options.world, this->addresses,
                                        this->began);
}

void Run::TakeNet() {
  basilspread::node::HttpLimits limits;
  limits.max_connections = kMostConnections;
  limits.max_body_bytes = std::size_t{4} << 20U;
  HttpLoop::Hooks hooks;
  hooks.on_request = [this](standin::CallId call, standin::PayloadPtr request) {
    this->Post(RequestArrived{call, std::move(request)});
  };
  hooks.on_disconnect = [](standin::CallId) {};
  for (int i = 0; i < kNets; ++i) {
    this->net = fmt::format("127.{}", kFirstNet + (getpid() + i) % kNets);
    this->stand_ins = std::make_unique<HttpLoop>(
        basilspread::config::Endpoint{this->net + ".0.1", kStandInPort}, limits,
        hooks);
    try {
      this->stand_ins->Start();
      return;
    } catch (const Poco::Exception&) {
      // Another program has these addresses.
      continue;
    }
  }
  throw std::runtime_error("no loopback addresses are free");
}

void Run::Listen() {
  // Process H has 127.N.1.H; what it calls the store and the advisor, and
  // where callers and peers reach it, are the proxy's 127.N.2.H to 127.N.5.H.
  const std::string stand_in =
      fmt::format("{}.0.1:{}", this->net, kStandInPort);
  for (std::size_t i = 0; i < this->options.processes; ++i) {
    const auto at = [this, i](int part, int port) {
      return fmt::format("{}.{}.{}:{}", this->net, part, 1 + i, port);
    };
    this->addresses.hosts.push_back(
        {HostName(i), fmt::format("zone-{}", i % kZones),
         fmt::format("{}.{}.{}", this->net, kHostPart, 1 + i), at(1, 8080),
         at(4, 8080), at(kHostPart, kPeerPort), at(kProxiedPeerPart, kPeerPort),
         at(1, 8083), at(1, 8081), at(2, 7001), at(3, 7002)});
    this->proxy.Listen(at(kProxiedPeerPart, kPeerPort),
                       at(kHostPart, kPeerPort));
    this->proxy.Listen(at(2, 7001), stand_in);
    this->proxy.Listen(at(3, 7002), stand_in);
    this->proxy.Listen(at(4, 8080), at(1, 8080));
  }
  constexpr std::size_t kFirstPart = 16;
  for (std::size_t i = 0; i < this->options.workers; ++i) {
    this->addresses.workers.push_back(
        fmt::format("{}.{}.{}:9000", this->net, kFirstPart + i / kWorkersOfNet,
                    1 + i % kWorkersOfNet));
    this->proxy.Listen(this->addresses.workers.back(), stand_in);
  }
  this->clients.Start();
  this->proxy.Start();
}

void Run::Post(Event event) {
  {
    const std::lock_guard lock(this->mutex);
    this->events.push_back(std::move(event));
  }
  this->has_events.notify_one();
}

void Run::Play(const std::function<bool()>& is_interrupted) {
  TimePoint tick_at = this->began;
  TimePoint measure_at = this->began;
  TimePoint reap_at = this->began;
  while (!this->world->IsOver()) {
    std::deque<Event> taken;
    {
      std::unique_lock lock(this->mutex);
      this->has_events.wait_until(lock, tick_at,
                                  [this] { return !this->events.empty(); });
      taken.swap(this->events);
    }
    for (const Event& event : taken) {
      this->Reduce(event);
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (now >= reap_at) {
      reap_at = now + kReapInterval;
      for (const HostEnded& ended : this->processes->TakeEnded()) {
        this->Reduce(ended);
      }
    }
    if (now >= measure_at) {
      measure_at = now + kMeasureInterval;
      for (const HostMeasured& measured : this->processes->Measure()) {
        this->Reduce(measured);
      }
    }
    if (now >= tick_at) {
      tick_at = now + kTick;
      this->Reduce(Tick{});
      this->GiveDueAnswers();
    }
    if (is_interrupted()) {
      this->world->Interrupt();
    }
  }
}

void Run::Reduce(const Event& event) {
  const Effects effects =
      this->world->Reduce(event, std::chrono::steady_clock::now());
  for (const Effect& effect : effects) {
    std::visit([this](const auto& body) { this->Carry(body); }, effect);
  }
}

void Run::GiveDueAnswers() {
  const auto end =
      this->due_answers.upper_bound(std::chrono::steady_clock::now());
  for (auto due = this->due_answers.begin(); due != end; ++due) {
    this->stand_ins->Answer(due->second.call,
                            [answer = due->second.answer] { return answer; });
  }
  this->due_answers.erase(this->due_answers.begin(), end);
}

void Run::Carry(const standin::AnswerCall& effect) {
  if (effect.after > Duration::zero()) {
    this->due_answers.emplace(std::chrono::steady_clock::now() + effect.after,
                              DueAnswer{effect.call, effect.answer});
    return;
  }
  this->stand_ins->Answer(effect.call,
                          [answer = effect.answer] { return answer; });
}

void Run::Carry(const SendCall& effect) {
  basilspread::node::HttpCall call = effect.call;
  call.done = [this, number = effect.number](
                  const basilspread::node::HttpReply& reply) {
    this->Post(ReplyArrived{number, reply});
  };
  this->clients.Send(std::move(call));
}

void Run::Carry(const StartHost& effect) {
  this->processes->Start(effect.host);
}

void Run::Carry(const SignalHost& effect) {
  this->processes->Signal(effect.host, effect.signal);
}

void Run::Carry(const RewriteSettings& effect) {
  this->processes->WriteSettings(effect.host, effect.log_level);
}

void Run::Carry(const SuspendClock& effect) {
  this->processes->SuspendClock(effect.host, effect.missed);
}

void Run::Carry(const ChangeLink& effect) {
  this->proxy.Change(effect.address, effect.change, effect.source);
}

}  // namespace soak
