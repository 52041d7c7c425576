#include "random/fake_minion.h"

#include <fmt/format.h>

#include <string>

namespace random_test {
namespace {

using basilspread::Payload;

constexpr int kOk = 200;
constexpr int kServerError = 500;
/// A frozen minion accepts requests and stalls for this long.
constexpr Duration kFreezeTime = std::chrono::seconds(30);
/// New work may reach a leaving minion for this long, which includes the lag of
/// the host list.
constexpr Duration kLeavingGrace = std::chrono::seconds(4);

}  // namespace

void FakeMinion::CheckLeaving() const {
  if (this->leaving_since &&
      this->schedule.Now() > *this->leaving_since + kLeavingGrace) {
    throw Violation(fmt::format("A leaving minion gets new work. host={}",
                                this->name.value));
  }
}

void FakeMinion::Run(Duration work, const PayloadPtr& request,
                     const std::function<void(PayloadPtr)>& reply) {
  this->CheckLeaving();
  this->ledger.OnRequestRun(request->body, this->name);
  ++this->running;
  if (this->running > this->slots) {
    throw Violation(
        fmt::format("A minion runs more requests than its slots. host={} "
                    "running={} body={}",
                    this->name.value, this->running, request->body));
  }
  const bool fails = this->failing > 0;
  const Duration duration = fails ? Duration{} : work;
  const Duration freeze = this->frozen > 0 ? kFreezeTime : Duration{};
  this->schedule.After(duration + freeze, [this, request, reply, fails] {
    --this->running;
    if (this->dropping_answers > 0 || this->frozen > 0) {
      return;
    }
    auto* answer = new Payload;
    answer->status = fails ? kServerError : kOk;
    answer->body = request->body;
    reply(PayloadPtr(answer));
  });
}

}  // namespace random_test
