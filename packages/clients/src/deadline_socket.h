#ifndef BASILSPREAD_CLIENTS_SRC_DEADLINE_SOCKET_H_
#define BASILSPREAD_CLIENTS_SRC_DEADLINE_SOCKET_H_

#include <Poco/Net/StreamSocketImpl.h>

#include <functional>

#include "basilspread/core/time.h"

namespace basilspread::clients {

/// A socket whose reads and writes share one deadline. With a timeout for each
/// call only, a peer that sends slowly could extend an exchange without limit.
class DeadlineSocketImpl : public Poco::Net::StreamSocketImpl {
 public:
  using Now = std::function<TimePoint()>;

  explicit DeadlineSocketImpl(Now clock_hook);

  void SetDeadline(TimePoint point) { this->deadline = point; }

  // Both throw Poco::TimeoutException after the deadline.
  int sendBytes(const void* buffer, int length, int flags) override;
  int receiveBytes(void* buffer, int length, int flags) override;

 private:
  Poco::Timespan TimeLeft() const;

  Now now;
  TimePoint deadline;
};

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_SRC_DEADLINE_SOCKET_H_
