#include "exchange_schedule.h"

namespace basilspread::node {

void ExchangeSchedule::Update(HttpExchange& exchange) {
  const auto next = exchange.NextTime();
  if (exchange.in_schedule.is_linked()) {
    if (next == exchange.scheduled_for) {
      return;
    }
    exchange.in_schedule.unlink();
  }
  if (next) {
    exchange.scheduled_for = *next;
    this->exchanges.insert(exchange);
  }
}

std::optional<TimePoint> ExchangeSchedule::NextTime() const {
  if (this->exchanges.empty()) {
    return std::nullopt;
  }
  return this->exchanges.begin()->scheduled_for;
}

HttpExchangePtr ExchangeSchedule::TakeDue(TimePoint now) {
  const auto next = this->NextTime();
  if (!next || *next > now) {
    return nullptr;
  }
  HttpExchange& exchange = *this->exchanges.begin();
  exchange.in_schedule.unlink();
  return HttpExchangePtr(&exchange);
}

}  // namespace basilspread::node
