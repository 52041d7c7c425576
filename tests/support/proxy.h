#ifndef BASILSPREAD_TESTS_SUPPORT_PROXY_H_
#define BASILSPREAD_TESTS_SUPPORT_PROXY_H_

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wake_socket.h"

namespace test {

/// What happens to a link from now on.
struct LinkChange {
  /// Bytes from the connecting side, or to it, are held back.
  bool holds_requests = false;
  bool holds_answers = false;
  /// Added to the way of every byte.
  std::chrono::milliseconds delay{};
  /// Connections that are open now are reset.
  bool resets = false;
  /// Connections that are open now pass nothing any more, without an end.
  bool silences = false;
  /// New connections are closed at once.
  bool refuses = false;
};

/// Passes the bytes of many links on, as each link's state says, on one
/// thread.
class Proxy {
 public:
  Proxy() = default;
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// Adds a link, before Start. Throws Poco::Exception when the address is
  /// taken.
  void Listen(const std::string& address, const std::string& target);
  void Start();
  void Stop();
  /// From any thread. With a `source`, an IP address, this concerns only the
  /// connections that come from there, on top of what concerns all.
  void Change(const std::string& address, const LinkChange& change,
              const std::string& source = "");

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Link {
    std::string target;
    Poco::Net::ServerSocket listener;
    LinkChange state;
    /// On top of it, by the IP address that a connection comes from.
    std::map<std::string, LinkChange> of_sources;
  };
  struct Order {
    std::string address;
    std::string source;
    LinkChange change;
  };
  struct Chunk {
    TimePoint due;
    std::string bytes;
    std::size_t written = 0;
  };
  /// Bytes that one end has sent and the other has yet to take.
  struct Stream {
    Poco::Net::StreamSocket from;
    Poco::Net::StreamSocket to;
    std::deque<Chunk> chunks;
    bool has_ended = false;
    /// What the poll set watches `from` for.
    int poll_mode = 0;
  };
  struct Pipe {
    Link* link = nullptr;
    /// The connecting end's IP address.
    std::string source;
    /// From the connecting end, and to it.
    std::array<Stream, 2> streams;
    /// Passes nothing any more.
    bool is_silent = false;
  };
  using PipePtr = std::list<Pipe>::iterator;

  void Run();
  void TakeChanges();
  void PassDue();
  void Accept(Link& link);
  void OnReady(PipePtr pipe, const Poco::Net::Socket& socket, int mode);
  /// Passes on what is due; false when the pipe has ended.
  bool Pass(Pipe& pipe);
  /// What concerns the connections from there: all of it taken together.
  static LinkChange StateOf(const Link& link, const std::string& source);
  static bool IsHeld(const Pipe& pipe, std::size_t side);
  void Watch(Pipe& pipe);
  void Close(PipePtr pipe, bool resets);
  Poco::Timespan UntilNextDue() const;

  Poco::Net::PollSet poll_set;
  basilspread::node::WakeSocket wake_socket;
  std::map<std::string, Link> links;
  std::map<Poco::Net::Socket, Link*> listeners;
  std::list<Pipe> pipes;
  std::map<Poco::Net::Socket, PipePtr> by_socket;
  std::mutex mutex;
  std::vector<Order> changes;
  bool is_stopping = false;
  std::thread thread;
};

}  // namespace test

#endif  // BASILSPREAD_TESTS_SUPPORT_PROXY_H_
