#include "servers.h"

#include <Poco/Net/SocketAddress.h>

#include <array>
#include <cstdlib>
#include <string_view>

namespace basilspread::bench {
namespace {

using Poco::Net::PollSet;

constexpr int kBacklog = 16;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLength = "Content-Length:";
constexpr std::string_view kHeld = "POST /held ";
constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 19\r\n\r\n{\"clock\":123456789}";
/// The thread looks this often whether it is to end.
const Poco::Timespan kWait(0, 100000);

/// The bytes of the first request; 0 while it is not whole.
std::size_t RequestBytes(const std::string& input) {
  const std::size_t end = input.find(kHeadEnd);
  if (end == std::string::npos) {
    return 0;
  }
  const std::size_t length_at = input.find(kLength);
  const std::size_t body_bytes =
      length_at < end ? std::strtoul(input.c_str() + length_at + kLength.size(),
                                     nullptr, 10)
                      : 0;
  const std::size_t bytes = end + kHeadEnd.size() + body_bytes;
  return input.size() < bytes ? 0 : bytes;
}

}  // namespace

Servers::Servers(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0),
                                     kBacklog);
    this->addresses.push_back(listener.address().toString());
    this->poll_set.add(listener, PollSet::POLL_READ);
    this->listeners.emplace(listener, listener);
  }
  this->thread = std::thread([this] { this->Run(); });
}

Servers::~Servers() {
  this->stopping = true;
  this->thread.join();
}

void Servers::Run() {
  while (!this->stopping) {
    for (const auto& [socket, mode] : this->poll_set.poll(kWait)) {
      this->OnReady(socket);
    }
  }
}

void Servers::OnReady(const Poco::Net::Socket& socket) {
  const auto listener = this->listeners.find(socket);
  if (listener != this->listeners.end()) {
    Poco::Net::StreamSocket accepted = listener->second.acceptConnection();
    accepted.setNoDelay(true);
    this->poll_set.add(accepted, PollSet::POLL_READ);
    this->inputs[accepted];
    return;
  }
  Poco::Net::StreamSocket connection(socket);
  std::array<char, 4096> buffer;
  const int count =
      connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  if (count <= 0) {
    this->poll_set.remove(socket);
    this->inputs.erase(socket);
    return;
  }
  std::string& input = this->inputs[socket];
  input.append(buffer.data(), static_cast<std::size_t>(count));
  this->AnswerAll(connection, input);
}

void Servers::AnswerAll(Poco::Net::StreamSocket& socket, std::string& input) {
  while (const std::size_t bytes = RequestBytes(input)) {
    if (input.starts_with(kHeld)) {
      ++this->held;
    } else {
      socket.sendBytes(kAnswer.data(), static_cast<int>(kAnswer.size()));
    }
    input.erase(0, bytes);
  }
}

}  // namespace basilspread::bench
