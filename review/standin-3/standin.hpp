// Stand-ins of the platform's store and of workers, a caller, and control of
// the entry processes that a case starts. Everything listens on 127.0.0.1.
#ifndef REVIEW_STANDIN_3_STANDIN_HPP_
#define REVIEW_STANDIN_3_STANDIN_HPP_

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace standin3 {

/// Milliseconds since the start of the case, on the steady clock.
std::int64_t NowMs();
std::int64_t UnixMs();

/// Writes record.txt, a line an event, with the time in seconds.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}
  void Write(const std::string& text);

 private:
  std::mutex mutex;
  std::ofstream file;
};

struct HttpRequest {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body = "{}";
  std::string type = "application/json";
};

/// Answers a request, at once or later, from the loop's thread.
using Respond = std::function<void(const HttpResponse&)>;
using Handler = std::function<void(const HttpRequest&, const Respond&)>;

/// An HTTP server with many ports on one thread.
class ServerLoop {
 public:
  ~ServerLoop();
  /// Opens a free port of 127.0.0.1. Call before Start.
  int Listen(Handler handler);
  /// Runs the function about every 5 ms on the loop's thread.
  void OnTick(std::function<void()> tick);
  void Start();
  void Stop();
  /// Refuses and closes connections of the port, or serves it again.
  void SetOpen(int port, bool is_open);

 private:
  struct Connection;
  struct Port {
    int socket = -1;
    Handler handler;
    bool is_open = true;
  };
  void Run();
  void Accept(int port, Port& of);
  void Read(const std::shared_ptr<Connection>& connection);
  bool TakeRequest(const std::shared_ptr<Connection>& connection);
  void Write(const std::shared_ptr<Connection>& connection);

  std::map<int, Port> ports;
  std::map<int, std::shared_ptr<Connection>> connections;
  std::vector<std::function<void()>> ticks;
  std::thread thread;
  std::mutex mutex;
  bool is_stopping = false;
};

/// The platform's store, as PROTOCOL.md describes its log form.
class Store {
 public:
  explicit Store(ServerLoop& server);
  int port = 0;
  /// Writes a record of a keyed topic, as the operator or a worker does. An
  /// empty value drops the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  /// The member that owns the group's partition 0.
  std::string Owner();

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence;
    std::map<std::uint64_t, std::string> answers;
  };
  struct Topic {
    std::uint64_t first = 0;
    std::deque<std::pair<std::int64_t, std::string>> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    std::map<std::string, Producer> producers;
    std::uint64_t End() const { return this->first + this->records.size(); }
  };
  struct Group {
    std::string topic;
    std::uint64_t generation = 0;
    std::string owner;
    std::map<std::string, std::int64_t> until;
  };
  struct Waiting {
    std::string topic;
    std::uint64_t from;
    std::int64_t until;
    Respond respond;
  };
  void Handle(const HttpRequest& request, const Respond& respond);
  HttpResponse Append(std::map<std::string, std::string> query,
                      const std::string& body);
  HttpResponse Read(const std::string& topic, std::uint64_t from);
  HttpResponse Newest(const std::string& topic, const std::string& after);
  HttpResponse Join(const std::string& body);
  HttpResponse Leave(const std::string& body);
  HttpResponse Owners(const std::string& name);
  void Add(Topic& topic, const std::string& content);
  void Settle(Group& group);
  void Tick();

  std::recursive_mutex mutex;
  std::map<std::string, Topic> topics;
  std::map<std::string, Group> groups;
  std::vector<Waiting> waiting;
};

struct RunInfo {
  std::string task;
  std::uint64_t run = 0;
  std::int64_t began = 0;
  std::int64_t ends_at = 0;
  std::string worker;
  bool is_stopping = false;
};

/// A worker. What its tasks do is set by the case: the duration of a run by its
/// specification, and the checkpoints that it lists.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string service = "work";
    std::string zone = "glasgow";
    std::string rack = "r1-1";
    std::int64_t cpu = 64000;
    std::int64_t memory = 262144;
    std::int64_t max_hold_ms = 6000;
    std::int64_t beat_ms = 1500;
    /// How long a stop takes; the run is listed until then.
    std::int64_t stop_ms = 0;
    std::function<std::int64_t(const std::string& specification)> duration_ms;
    /// The checkpoint of a run; empty for none.
    std::function<std::string(const RunInfo&)> checkpoint;
    std::function<void(const std::string& what, const RunInfo&)> on_event;
  };
  Worker(ServerLoop& server, Store& store, Options options);
  int port = 0;
  const Options options;
  /// Ends the worker for good: nothing runs, nothing is answered.
  void Crash();
  std::size_t Running();

 private:
  struct End {
    std::uint64_t number;
    std::string task;
    std::uint64_t run;
    std::string how;
    std::string checkpoint;
  };
  struct Hold {
    std::int64_t until;
    Respond respond;
  };
  void Handle(const HttpRequest& request, const Respond& respond);
  void Tick();
  void Finish(const RunInfo& run, const std::string& how);
  std::int64_t Clock() const;
  HttpResponse Lists(bool with_lists, int status, const std::string& reason);
  void Beat();

  ServerLoop& server;
  Store& store;
  std::recursive_mutex mutex;
  bool is_dead = false;
  std::int64_t began = 0;
  std::int64_t born = 0;
  std::int64_t next_beat = 0;
  std::uint64_t sequence = 0;
  std::uint64_t fence = 0;
  std::int64_t lease_until = 0;
  std::uint64_t last_end = 0;
  std::map<std::string, RunInfo> running;
  std::map<std::string, std::uint64_t> ended_run;
  std::deque<End> ends;
  std::vector<Hold> holds;
};

struct Reply {
  /// 0 if there was no answer.
  int status = 0;
  std::string body;
};

/// Sends a request on a new connection and waits for its answer.
Reply Call(int port, const std::string& method, const std::string& path,
           const std::string& body, std::int64_t timeout_ms,
           const std::string& host = "work.example",
           const std::string& key = "");

/// An entry process, started with the command of the deploy file.
class Entry {
 public:
  struct Options {
    std::string binary;
    std::string folder;
    std::string name;
    std::string zone;
    int store_port = 0;
    int advisor_port = 0;
    int memory_mb = 260;
    /// Further lines of the settings file.
    std::string more = "";
  };
  explicit Entry(Options options);
  ~Entry();
  void Start();
  void Kill(int signal);
  bool IsAlive();
  /// Memory of the process that no file backs, in KiB.
  std::int64_t AnonymousKib() const;
  const Options options;
  int http = 0;
  int ready = 0;
  pid_t pid = -1;

 private:
  int peer = 0;
  int admin = 0;
};

/// A free port of 127.0.0.1.
int FreePort();

struct Route {
  std::string name;
  std::string prefix;
  int priority = 1;
  int max_attempts = 3;
  double stretch = 2.2;
  int target_ms = 1000;
};
/// `tenants` is the list of that field; empty for a config without it.
std::string MakeConfig(int version, const std::vector<Route>& routes,
                       const std::string& service,
                       const std::string& tenants = "");

/// 16 hexadecimal digits.
std::string MakeId(std::uint64_t number);

}  // namespace standin3

#endif  // REVIEW_STANDIN_3_STANDIN_HPP_
