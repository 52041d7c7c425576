#ifndef BASILSPREAD_BENCH_CALLS_SERVERS_H_
#define BASILSPREAD_BENCH_CALLS_SERVERS_H_

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstddef>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace basilspread::bench {

/// Stand-ins for HTTP servers, each on a loopback port of its own, all on one
/// thread. Requests to /held get no answer.
class Servers {
 public:
  /// Throws Poco::Exception when a port cannot be had.
  explicit Servers(std::size_t count);
  ~Servers();
  Servers(const Servers&) = delete;
  Servers& operator=(const Servers&) = delete;

  const std::vector<std::string>& Addresses() const { return this->addresses; }
  std::size_t HeldRequests() const { return this->held; }

 private:
  void Run();
  void OnReady(const Poco::Net::Socket& socket);
  /// Answers the whole requests among what has come.
  void AnswerAll(Poco::Net::StreamSocket& socket, std::string& input);

  Poco::Net::PollSet poll_set;
  std::map<Poco::Net::Socket, Poco::Net::ServerSocket> listeners;
  /// Bytes of requests that are not whole, by connection.
  std::map<Poco::Net::Socket, std::string> inputs;
  std::vector<std::string> addresses;
  std::atomic<std::size_t> held = 0;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace basilspread::bench

#endif  // BASILSPREAD_BENCH_CALLS_SERVERS_H_
