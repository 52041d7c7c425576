#ifndef BASILSPREAD_NODE_EXCHANGE_SCHEDULE_H_
#define BASILSPREAD_NODE_EXCHANGE_SCHEDULE_H_

#include <boost/intrusive/set.hpp>
#include <optional>

#include "basilspread/core/time.h"
#include "http_exchange.h"

namespace basilspread::node {

/// Exchanges ordered by the time of their next timeout. The schedule holds no
/// references: the destructor of an exchange removes it.
class ExchangeSchedule {
 public:
  /// Inserts, moves or removes the exchange according to its NextTime.
  void Update(HttpExchange& exchange);
  std::optional<TimePoint> NextTime() const;
  /// Removes and returns the first exchange that is due; null if none is.
  HttpExchangePtr TakeDue(TimePoint now);

 private:
  struct IsEarlier {
    bool operator()(const HttpExchange& a, const HttpExchange& b) const {
      return a.scheduled_for < b.scheduled_for;
    }
  };

  boost::intrusive::multiset<
      HttpExchange,
      boost::intrusive::member_hook<HttpExchange,
                                    decltype(HttpExchange::in_schedule),
                                    &HttpExchange::in_schedule>,
      boost::intrusive::compare<IsEarlier>,
      boost::intrusive::constant_time_size<false>>
      exchanges;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_EXCHANGE_SCHEDULE_H_
