#ifndef BASILSPREAD_NODE_EXCHANGE_SCHEDULE_H_
#define BASILSPREAD_NODE_EXCHANGE_SCHEDULE_H_

#include <boost/intrusive/set.hpp>
#include <optional>

#include "basilspread/core/time.h"
#include "http_exchange.h"

namespace basilspread::node {

/// Exchanges by the next time at which something is to be done about them.
/// Holds no counts: an exchange that ends takes itself out.
class ExchangeSchedule {
 public:
  /// Gives the exchange the place of its next time.
  void Update(HttpExchange& exchange);
  std::optional<TimePoint> NextTime() const;
  /// Takes out the first exchange whose time has come; null when none has.
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
