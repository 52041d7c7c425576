#include "basilspread/clients/minion_client.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <utility>

#include "minion_connection.h"
#include "minion_connections.h"

namespace basilspread::clients {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);

MinionAnswered MakeAnswered(const SendToMinion& send, MinionResult result) {
  MinionAnswered answered;
  answered.request = send.request;
  answered.attempt = send.attempt;
  answered.host = send.host;
  answered.result = result;
  return answered;
}

}  // namespace

MinionClient::MinionClient(Now clock_hook, OpenResponse response_hook)
    : now(std::move(clock_hook)),
      open_response(std::move(response_hook)),
      connections(std::make_unique<MinionConnections>()) {}

MinionClient::~MinionClient() = default;

MinionAnswered MinionClient::Send(const SendToMinion& send) const {
  // The peer may have dropped an idle connection unnoticed. So only idempotent
  // requests reuse one, and are sent again on a new connection if it fails.
  if (send.idempotent) {
    auto connection = this->connections->Take(send.address, this->now());
    if (connection) {
      MinionAnswered first = this->Exchange(send, std::move(connection));
      if (first.result != MinionResult::kLost) {
        return first;
      }
      // If the second attempt was not answered, the first may still have run.
      MinionAnswered second = this->SendOnNewConnection(send);
      return second.result == MinionResult::kAnswered ? second : first;
    }
  }
  return this->SendOnNewConnection(send);
}

MinionAnswered MinionClient::SendOnNewConnection(
    const SendToMinion& send) const {
  const Duration left = send.not_after - this->now();
  if (left <= Duration::zero()) {
    return MakeAnswered(send, MinionResult::kNotSent);
  }
  std::unique_ptr<MinionConnection> connection;
  try {
    connection = std::make_unique<MinionConnection>(
        send.address, std::min(left, kConnectTimeout), this->now);
  } catch (const Poco::Exception&) {
    return MakeAnswered(send, MinionResult::kRefused);
  }
  return this->Exchange(send, std::move(connection));
}

MinionAnswered MinionClient::Exchange(
    const SendToMinion& send,
    std::unique_ptr<MinionConnection> connection) const {
  const TimePoint start = this->now();
  if (start >= send.not_after) {
    return MakeAnswered(send, MinionResult::kNotSent);
  }
  MinionAnswered answered = MakeAnswered(send, MinionResult::kLost);
  try {
    connection->Write(*send.payload, send.deadline);
    answered.payload = connection->Read(this->open_response);
  } catch (const Poco::Exception&) {
    return answered;
  }
  answered.result = MinionResult::kAnswered;
  const TimePoint end = this->now();
  answered.run_time = end - start;
  if (connection->IsReusable()) {
    this->connections->Return(std::move(connection), end);
  }
  return answered;
}

}  // namespace basilspread::clients
