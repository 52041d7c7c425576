#include "standin.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>
#include <sstream>

namespace standin3 {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();

std::string Quote(const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return buffer.GetString();
}

std::string Base64(const std::string& bytes) {
  static const char* const kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += k <= count ? kLetters[group >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t begin = target.find('?');
  if (begin == std::string::npos) {
    return query;
  }
  std::stringstream parts(target.substr(begin + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
    }
  }
  return query;
}

std::uint64_t Number(const std::map<std::string, std::string>& query,
                     const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? 0
                              : std::strtoull(found->second.c_str(), nullptr,
                                              10);
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>(value >> shift & 255);
  }
  return text;
}

std::string TextOf(const rapidjson::Value& object, const char* name) {
  const auto member = object.FindMember(name);
  return member != object.MemberEnd() && member->value.IsString()
             ? member->value.GetString()
             : "";
}

std::uint64_t CountOf(const rapidjson::Value& object, const char* name) {
  const auto member = object.FindMember(name);
  return member != object.MemberEnd() && member->value.IsUint64()
             ? member->value.GetUint64()
             : 0;
}

void SetNonBlocking(int socket) {
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int OpenListener(int& port) {
  const int socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const int on = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(socket_, 512) != 0) {
    std::perror("stand-in: cannot listen");
    std::exit(2);
  }
  socklen_t size = sizeof(address);
  getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket_;
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Record::Write(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ",
                static_cast<double>(NowMs()) / 1000.0);
  this->file << time << text << std::endl;
}

// The HTTP server.

struct ServerLoop::Connection {
  int socket = -1;
  int port = 0;
  std::string input;
  std::string output;
  /// A request is being answered; its pipelined successor waits.
  bool is_busy = false;
};

ServerLoop::~ServerLoop() { this->Stop(); }

int ServerLoop::Listen(Handler handler) {
  int port = 0;
  const int socket = OpenListener(port);
  SetNonBlocking(socket);
  const std::lock_guard lock(this->mutex);
  this->ports[port] = Port{socket, std::move(handler), true};
  return port;
}

void ServerLoop::OnTick(std::function<void()> tick) {
  this->ticks.push_back(std::move(tick));
}

void ServerLoop::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void ServerLoop::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void ServerLoop::SetOpen(int port, bool is_open) {
  const std::lock_guard lock(this->mutex);
  Port& of = this->ports.at(port);
  of.is_open = is_open;
  if (!is_open && of.socket >= 0) {
    close(of.socket);
    of.socket = -1;
  } else if (is_open && of.socket < 0) {
    int same = port;
    of.socket = OpenListener(same);
    SetNonBlocking(of.socket);
  }
}

void ServerLoop::Run() {
  while (true) {
    std::vector<pollfd> sockets;
    std::vector<int> listening;
    {
      const std::lock_guard lock(this->mutex);
      if (this->is_stopping) {
        break;
      }
      for (auto& [port, of] : this->ports) {
        if (of.socket >= 0) {
          sockets.push_back({of.socket, POLLIN, 0});
          listening.push_back(port);
        }
      }
      std::vector<int> closed;
      for (auto& [socket, connection] : this->connections) {
        if (!this->ports.at(connection->port).is_open) {
          closed.push_back(socket);
          continue;
        }
        const short events = connection->output.empty()
                                 ? POLLIN
                                 : static_cast<short>(POLLIN | POLLOUT);
        sockets.push_back({socket, events, 0});
      }
      for (const int socket : closed) {
        close(socket);
        this->connections.at(socket)->socket = -1;
        this->connections.erase(socket);
      }
    }
    poll(sockets.data(), sockets.size(), 5);
    for (std::size_t i = 0; i < sockets.size(); ++i) {
      if (sockets[i].revents == 0) {
        continue;
      }
      if (i < listening.size()) {
        this->Accept(listening[i], this->ports.at(listening[i]));
        continue;
      }
      const auto found = this->connections.find(sockets[i].fd);
      if (found == this->connections.end()) {
        continue;
      }
      const std::shared_ptr<Connection> connection = found->second;
      if ((sockets[i].revents & POLLOUT) != 0) {
        this->Write(connection);
      }
      if (connection->socket >= 0 &&
          (sockets[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        this->Read(connection);
      }
    }
    for (const auto& tick : this->ticks) {
      tick();
    }
  }
}

void ServerLoop::Accept(int port, Port& of) {
  const int socket = accept4(of.socket, nullptr, nullptr, SOCK_CLOEXEC);
  if (socket < 0) {
    return;
  }
  SetNonBlocking(socket);
  const auto connection = std::make_shared<Connection>();
  connection->socket = socket;
  connection->port = port;
  this->connections[socket] = connection;
}

void ServerLoop::Read(const std::shared_ptr<Connection>& connection) {
  char buffer[65536];
  const ssize_t count = recv(connection->socket, buffer, sizeof(buffer), 0);
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return;
  }
  if (count <= 0) {
    close(connection->socket);
    this->connections.erase(connection->socket);
    connection->socket = -1;
    return;
  }
  connection->input.append(buffer, static_cast<std::size_t>(count));
  while (!connection->is_busy && this->TakeRequest(connection)) {
  }
}

bool ServerLoop::TakeRequest(const std::shared_ptr<Connection>& connection) {
  std::string& input = connection->input;
  const std::size_t end = input.find("\r\n\r\n");
  if (connection->socket < 0 || end == std::string::npos) {
    return false;
  }
  HttpRequest request;
  std::stringstream head(input.substr(0, end));
  std::string line;
  std::getline(head, line);
  std::stringstream first(line);
  first >> request.method >> request.target;
  while (std::getline(head, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r ") + 1);
    request.headers[name] = value;
  }
  const auto length = request.headers.find("content-length");
  const std::size_t bytes = length == request.headers.end()
                                ? 0
                                : std::strtoull(length->second.c_str(),
                                                nullptr, 10);
  if (input.size() < end + 4 + bytes) {
    return false;
  }
  request.body = input.substr(end + 4, bytes);
  input.erase(0, end + 4 + bytes);
  connection->is_busy = true;
  this->ports.at(connection->port)
      .handler(request, [this, connection](const HttpResponse& response) {
        if (connection->socket < 0) {
          return;
        }
        connection->output +=
            "HTTP/1.1 " + std::to_string(response.status) +
            " X\r\nContent-Type: " + response.type +
            "\r\nContent-Length: " + std::to_string(response.body.size()) +
            "\r\n\r\n" + response.body;
        connection->is_busy = false;
        this->Write(connection);
      });
  return true;
}

void ServerLoop::Write(const std::shared_ptr<Connection>& connection) {
  while (connection->socket >= 0 && !connection->output.empty()) {
    const ssize_t count =
        send(connection->socket, connection->output.data(),
             connection->output.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    connection->output.erase(0, static_cast<std::size_t>(count));
  }
}

// The store.

Store::Store(ServerLoop& server) {
  this->port = server.Listen([this](const HttpRequest& request,
                                    const Respond& respond) {
    this->Handle(request, respond);
  });
  server.OnTick([this] { this->Tick(); });
}

void Store::Put(const std::string& topic, const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(this->mutex);
  this->Add(this->topics[topic],
            std::string(1, static_cast<char>(key.size())) + key + value);
}

std::string Store::Owner() {
  const std::lock_guard lock(this->mutex);
  return this->groups.empty() ? "" : this->groups.begin()->second.owner;
}

void Store::Add(Topic& topic, const std::string& content) {
  const std::size_t length =
      content.empty() ? 0 : static_cast<unsigned char>(content[0]);
  const std::string key = content.substr(std::min<std::size_t>(
                                             1, content.size()),
                                         length);
  const std::string value =
      content.size() > 1 + length ? content.substr(1 + length) : "";
  if (value.empty()) {
    topic.newest.erase(key);
  } else {
    topic.newest[key] = {value, topic.End()};
  }
  topic.records.emplace_back(NowMs(), content);
}

void Store::Handle(const HttpRequest& request, const Respond& respond) {
  const std::lock_guard lock(this->mutex);
  const std::string path = PathOf(request.target);
  auto query = QueryOf(request.target);
  if (path == "/v1/log-append") {
    return respond(this->Append(query, request.body));
  }
  if (path == "/v1/log-read") {
    const std::uint64_t from = Number(query, "from");
    const auto topic = this->topics.find(query["topic"]);
    const std::int64_t wait =
        static_cast<std::int64_t>(Number(query, "waitMs"));
    if (topic != this->topics.end() && from == topic->second.End() &&
        wait > 0) {
      this->waiting.push_back(
          {query["topic"], from, NowMs() + wait, respond});
      return;
    }
    return respond(this->Read(query["topic"], from));
  }
  if (path == "/v1/log-newest") {
    return respond(this->Newest(query["topic"], query["after"]));
  }
  if (path == "/v1/log-join") {
    return respond(this->Join(request.body));
  }
  if (path == "/v1/log-leave") {
    return respond(this->Leave(request.body));
  }
  if (path == "/v1/log-owners") {
    return respond(this->Owners(query["group"]));
  }
  respond({404, "{}"});
}

HttpResponse Store::Append(std::map<std::string, std::string> query,
                           const std::string& body) {
  if (query["topic"] == "keyed.op" || query["topic"] == "keyed.servers") {
    return {403, "{}"};
  }
  std::vector<std::string> records;
  for (std::size_t at = 0; at < body.size();) {
    if (body.size() - at < 4) {
      return {400, "{}"};
    }
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) {
      length = length << 8 | static_cast<unsigned char>(body[at + i]);
    }
    at += 4;
    if (body.size() - at < length) {
      return {400, "{}"};
    }
    records.push_back(body.substr(at, length));
    at += length;
  }
  Topic& topic = this->topics[query["topic"]];
  const std::string result =
      "{\"offset\":" + std::to_string(topic.End()) +
      ",\"end\":" + std::to_string(topic.End() + records.size()) + "}";
  if (query.contains("producer")) {
    Producer& producer = topic.producers[query["producer"]];
    const std::uint64_t epoch = Number(query, "epoch");
    const std::uint64_t sequence = Number(query, "sequence");
    if (epoch < producer.epoch) {
      return {409, "{\"reason\":\"fenced\",\"epoch\":" +
                       std::to_string(producer.epoch) + "}"};
    }
    if (epoch > producer.epoch) {
      producer = Producer{};
      producer.epoch = epoch;
    }
    const auto repeat = producer.answers.find(sequence);
    if (repeat != producer.answers.end()) {
      return {200, repeat->second};
    }
    if (producer.sequence && sequence != *producer.sequence + 1) {
      return {409, "{\"reason\":\"seq\",\"sequence\":" +
                       std::to_string(*producer.sequence + 1) + "}"};
    }
    producer.sequence = sequence;
    producer.answers[sequence] = result;
    if (producer.answers.size() > 5) {
      producer.answers.erase(producer.answers.begin());
    }
  }
  for (const std::string& record : records) {
    this->Add(topic, record);
  }
  return {200, result};
}

HttpResponse Store::Read(const std::string& name, std::uint64_t from) {
  const auto found = this->topics.find(name);
  if (found == this->topics.end()) {
    return {404, "{}"};
  }
  const Topic& topic = found->second;
  if (from < topic.first) {
    return {410, "{\"first\":" + std::to_string(topic.first) + "}"};
  }
  std::string body = BigEndian(topic.End(), 8) + BigEndian(topic.first, 8);
  for (std::uint64_t offset = from;
       offset < topic.End() && body.size() < (1U << 20U); ++offset) {
    const std::string& record = topic.records[offset - topic.first].second;
    body += BigEndian(record.size(), 4) + record;
  }
  return {200, body, "application/octet-stream"};
}

HttpResponse Store::Newest(const std::string& name, const std::string& after) {
  const auto found = this->topics.find(name);
  if (found == this->topics.end()) {
    return {404, "{}"};
  }
  const Topic& topic = found->second;
  std::string items;
  std::size_t count = 0;
  bool has_more = false;
  for (auto record = topic.newest.upper_bound(after);
       record != topic.newest.end(); ++record) {
    if (count == 500 || items.size() > (1U << 20U)) {
      has_more = true;
      break;
    }
    items += std::string(items.empty() ? "" : ",") +
             "{\"key\":" + Quote(record->first) + ",\"value\":\"" +
             Base64(record->second.first) +
             "\",\"offset\":" + std::to_string(record->second.second) + "}";
    ++count;
  }
  return {200, "{\"items\":[" + items + "],\"hasMore\":" +
                   (has_more ? "true" : "false") +
                   ",\"end\":" + std::to_string(topic.End()) + "}"};
}

void Store::Settle(Group& group) {
  const std::int64_t now = NowMs();
  const auto lapsed = std::erase_if(
      group.until, [now](const auto& member) { return member.second < now; });
  group.generation += lapsed > 0 ? 1 : 0;
  if (!group.until.contains(group.owner)) {
    group.owner.clear();
    if (!group.until.empty()) {
      ++group.generation;
      group.owner = group.until.begin()->first;
    }
  }
}

HttpResponse Store::Join(const std::string& body) {
  rapidjson::Document call;
  call.Parse(body.c_str());
  if (!call.IsObject() || !call.HasMember("topics") ||
      CountOf(call, "ttlMs") < 1000) {
    return {400, "{}"};
  }
  Group& group = this->groups[TextOf(call, "group")];
  group.topic = call["topics"][0].GetString();
  this->Settle(group);
  const std::string member = TextOf(call, "member");
  group.generation += group.until.contains(member) ? 0 : 1;
  group.until[member] =
      NowMs() + static_cast<std::int64_t>(CountOf(call, "ttlMs"));
  this->Settle(group);
  return {200, "{\"generation\":" + std::to_string(group.generation) +
                   ",\"parts\":[" +
                   (group.owner == member ? "[\"" + group.topic + "\",0,0]"
                                          : "") +
                   "]}"};
}

HttpResponse Store::Leave(const std::string& body) {
  rapidjson::Document call;
  call.Parse(body.c_str());
  if (!call.IsObject()) {
    return {400, "{}"};
  }
  Group& group = this->groups[TextOf(call, "group")];
  group.generation += group.until.erase(TextOf(call, "member"));
  this->Settle(group);
  return {200, "{}"};
}

HttpResponse Store::Owners(const std::string& name) {
  Group& group = this->groups[name];
  this->Settle(group);
  return {200, "{\"parts\":[" +
                   (group.owner.empty() ? ""
                                        : "[\"" + group.topic + "\",0," +
                                              Quote(group.owner) + ",0]") +
                   "]}"};
}

void Store::Tick() {
  const std::lock_guard lock(this->mutex);
  for (auto& [name, group] : this->groups) {
    this->Settle(group);
  }
  // Answers may lead to further reads, which wait in the same list.
  std::vector<Waiting> open = std::move(this->waiting);
  this->waiting.clear();
  for (Waiting& read : open) {
    if (this->topics[read.topic].End() > read.from || NowMs() >= read.until) {
      read.respond(this->Read(read.topic, read.from));
    } else {
      this->waiting.push_back(std::move(read));
    }
  }
}

// Workers.

Worker::Worker(ServerLoop& its_server, Store& its_store, Options its_options)
    : options(std::move(its_options)),
      server(its_server),
      store(its_store),
      began(NowMs()),
      born(UnixMs()) {
  this->port = this->server.Listen([this](const HttpRequest& request,
                                          const Respond& respond) {
    this->Handle(request, respond);
  });
  this->server.OnTick([this] { this->Tick(); });
}

std::int64_t Worker::Clock() const { return NowMs() - this->began + 1; }

std::size_t Worker::Running() {
  const std::lock_guard lock(this->mutex);
  return this->running.size();
}

void Worker::Crash() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_dead = true;
    for (const auto& [task, run] : this->running) {
      this->options.on_event("gone with its worker", run);
    }
    this->running.clear();
    this->holds.clear();
  }
  this->server.SetOpen(this->port, false);
}

void Worker::Beat() {
  const Options& of = this->options;
  this->store.Put(
      "keyed.servers", of.id,
      "{\"service\":\"" + of.service + "\",\"address\":\"127.0.0.1:" +
          std::to_string(this->port) + "\",\"zone\":\"" + of.zone +
          "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
          "\"coldRemainingMs\":0,\"machine\":\"m-" +
          of.id + "\",\"capacity\":{\"cpu\":" + std::to_string(of.cpu) +
          ",\"memoryRequestMb\":" + std::to_string(of.memory) +
          ",\"gpu\":0},\"labels\":[\"a\",\"" + of.rack +
          "\"],\"clockMs\":" + std::to_string(this->Clock()) +
          ",\"born\":" + std::to_string(this->born) +
          ",\"sequence\":" + std::to_string(++this->sequence) + "}");
}

HttpResponse Worker::Lists(bool with_lists, int status,
                           const std::string& reason) {
  std::string body = "{\"clockMs\":" + std::to_string(this->Clock()) +
                     ",\"born\":" + std::to_string(this->born);
  if (!reason.empty()) {
    body += ",\"reason\":\"" + reason + "\"";
  }
  if (with_lists) {
    std::string rows;
    for (const auto& [task, run] : this->running) {
      const std::int64_t length = std::max<std::int64_t>(
          1, run.ends_at - run.began);
      const std::int64_t percent =
          std::min<std::int64_t>(99, (NowMs() - run.began) * 100 / length);
      rows += std::string(rows.empty() ? "" : ",") + "[\"" + task + "\"," +
              std::to_string(run.run) + "," +
              Quote(this->options.checkpoint(run)) + "," +
              std::to_string(percent) + ",0]";
    }
    body += ",\"running\":[" + rows + "]";
    rows.clear();
    std::size_t count = 0;
    for (const End& end : this->ends) {
      if (count++ == 500) {
        break;
      }
      rows += std::string(rows.empty() ? "" : ",") + "[" +
              std::to_string(end.number) + ",\"" + end.task + "\"," +
              std::to_string(end.run) + ",\"" + end.how + "\"," +
              Quote(end.checkpoint) + "]";
    }
    body += ",\"endedRuns\":[" + rows + "]";
  }
  return {status, body + "}"};
}

void Worker::Finish(const RunInfo& run, const std::string& how) {
  this->options.on_event(how, run);
  this->ends.push_back(
      {++this->last_end, run.task, run.run, how, this->options.checkpoint(run)});
  std::uint64_t& ended = this->ended_run[run.task];
  ended = std::max(ended, run.run);
  this->running.erase(run.task);
}

void Worker::Handle(const HttpRequest& request, const Respond& respond) {
  const std::lock_guard lock(this->mutex);
  if (this->is_dead) {
    return;
  }
  const auto expected = request.headers.find("expect-instance");
  if (expected != request.headers.end() &&
      expected->second != this->options.id) {
    return respond({421, "{}"});
  }
  if (request.method == "GET") {
    return respond({200, "{}"});
  }
  rapidjson::Document call;
  call.Parse(request.body.c_str());
  if (!call.IsObject()) {
    return respond({400, "{}"});
  }
  const std::uint64_t its_fence = CountOf(call, "fencingToken");
  if (its_fence < this->fence) {
    return respond(this->Lists(false, 409, "fence"));
  }
  this->fence = its_fence;
  const std::int64_t deadline =
      static_cast<std::int64_t>(CountOf(call, "deadlineMs"));
  const std::int64_t until =
      std::min(deadline, this->Clock() + this->options.max_hold_ms);
  if (request.target == "/v1/hold") {
    this->lease_until = std::max(this->lease_until, until);
    const std::uint64_t acked = CountOf(call, "ackedThrough");
    while (!this->ends.empty() && this->ends.front().number <= acked) {
      this->ends.pop_front();
    }
    const std::int64_t wait =
        static_cast<std::int64_t>(CountOf(call, "waitMs"));
    if (wait > 0 && this->ends.empty()) {
      this->holds.push_back({NowMs() + wait, respond});
      return;
    }
    return respond(this->Lists(true, 200, ""));
  }
  const std::string task = TextOf(call, "task");
  const std::uint64_t run = CountOf(call, "run");
  const auto running_now = this->running.find(task);
  if (request.target == "/v1/run-stop") {
    std::uint64_t& ended = this->ended_run[task];
    ended = std::max(ended, run);
    if (running_now != this->running.end() && running_now->second.run <= run) {
      RunInfo& info = running_now->second;
      if (!info.is_stopping) {
        info.is_stopping = true;
        info.ends_at = std::min(info.ends_at, NowMs() + this->options.stop_ms);
      }
      if (this->options.stop_ms == 0) {
        const RunInfo stopped = info;
        this->Finish(stopped, "stopped");
      }
    }
    return respond(this->Lists(false, 200, ""));
  }
  if (request.target != "/v1/run-start") {
    return respond({404, "{}"});
  }
  this->lease_until = std::max(this->lease_until, until);
  if (running_now != this->running.end() && running_now->second.run == run) {
    return respond(this->Lists(false, 200, ""));
  }
  const auto ended = this->ended_run.find(task);
  if (running_now != this->running.end() ||
      (ended != this->ended_run.end() && run <= ended->second)) {
    return respond(this->Lists(false, 409, "old"));
  }
  if (deadline <= this->Clock()) {
    return respond(this->Lists(false, 409, "late"));
  }
  RunInfo info{task, run, NowMs(), 0, this->options.id};
  info.ends_at =
      info.began + this->options.duration_ms(TextOf(call, "specification"));
  this->running[task] = info;
  this->options.on_event("start", info);
  respond(this->Lists(false, 200, ""));
}

void Worker::Tick() {
  const std::lock_guard lock(this->mutex);
  if (this->is_dead) {
    return;
  }
  if (NowMs() >= this->next_beat) {
    this->next_beat = NowMs() + this->options.beat_ms;
    this->Beat();
  }
  std::vector<std::pair<RunInfo, std::string>> over;
  for (const auto& [task, run] : this->running) {
    if (NowMs() >= run.ends_at) {
      over.emplace_back(run, run.is_stopping ? "stopped" : "done");
    } else if (this->Clock() >= this->lease_until) {
      over.emplace_back(run, "lapsed");
    }
  }
  for (const auto& [run, how] : over) {
    this->Finish(run, how);
  }
  std::vector<Hold> open = std::move(this->holds);
  this->holds.clear();
  for (Hold& hold : open) {
    if (!this->ends.empty() || NowMs() >= hold.until) {
      hold.respond(this->Lists(true, 200, ""));
    } else {
      this->holds.push_back(std::move(hold));
    }
  }
}

// Callers.

Reply Call(int port, const std::string& method, const std::string& path,
           const std::string& body, std::int64_t timeout_ms,
           const std::string& host, const std::string& key) {
  const std::int64_t until = NowMs() + timeout_ms;
  const int socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(socket_, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket_);
    return {};
  }
  std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                        "\r\nDeadline-Milliseconds: " +
                        std::to_string(timeout_ms) + "\r\n";
  if (!key.empty()) {
    request += "Api-Key: " + key + "\r\n";
  }
  if (!body.empty()) {
    request += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n";
  }
  request += "\r\n" + body;
  std::size_t sent = 0;
  while (sent < request.size()) {
    const ssize_t count = send(socket_, request.data() + sent,
                               request.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      close(socket_);
      return {};
    }
    sent += static_cast<std::size_t>(count);
  }
  std::string input;
  while (true) {
    const std::size_t end = input.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::string head = input.substr(0, end);
      std::transform(head.begin(), head.end(), head.begin(), ::tolower);
      const std::size_t at = head.find("content-length:");
      const std::size_t bytes =
          at == std::string::npos
              ? 0
              : std::strtoull(head.c_str() + at + 15, nullptr, 10);
      if (input.size() >= end + 4 + bytes) {
        close(socket_);
        return {std::atoi(input.c_str() + 9), input.substr(end + 4, bytes)};
      }
    }
    pollfd ready{socket_, POLLIN, 0};
    const std::int64_t left = until - NowMs();
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
      break;
    }
    char buffer[16384];
    const ssize_t count = recv(socket_, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      break;
    }
    input.append(buffer, static_cast<std::size_t>(count));
  }
  close(socket_);
  return {};
}

// Entry processes.

int FreePort() {
  static std::set<int> taken;
  while (true) {
    int port = 0;
    close(OpenListener(port));
    if (taken.insert(port).second) {
      return port;
    }
  }
}

Entry::Entry(Options its_options)
    : options(std::move(its_options)),
      http(FreePort()),
      ready(FreePort()),
      peer(FreePort()),
      admin(FreePort()) {
  const auto address = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  std::ofstream file(this->options.folder + "/" + this->options.name + ".ini");
  file << "[node]\nname = " << this->options.name
       << "\nzone = " << this->options.zone
       << "\n\n[listen]\nhttp = " << address(this->http)
       << "\npeer = " << address(this->peer)
       << "\nadmin = " << address(this->admin)
       << "\n\n[host]\nprocessor_share = 0.25\nlink_mbps = 1000.0\nmemory = "
       << this->options.memory_mb << "\ndescriptors = 4100"
       << "\n\n[store]\naddress = " << address(this->options.store_port)
       << "\nready = " << address(this->ready)
       << "\nadvisor = " << address(this->options.advisor_port)
       << "\nmember_time_to_live = 1s\njoin_interval = 250ms"
          "\nshortest_time_to_live = 1000ms\nmax_lease = 6000ms"
          "\ngang_timeout = 3000ms\nstatus_retention = 120s"
          "\nstop_grace = 6s\ndrain_time = 2000ms\n"
       << this->options.more;
}

Entry::~Entry() {
  if (this->pid > 0) {
    this->Kill(SIGKILL);
  }
}

void Entry::Start() {
  const std::string settings =
      this->options.folder + "/" + this->options.name + ".ini";
  const std::string log =
      this->options.folder + "/" + this->options.name + ".log";
  this->pid = fork();
  if (this->pid == 0) {
    // The process ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl(this->options.binary.c_str(), this->options.binary.c_str(),
          "--config", settings.c_str(), nullptr);
    _exit(127);
  }
}

void Entry::Kill(int signal) {
  if (this->pid <= 0) {
    return;
  }
  kill(this->pid, signal);
  if (signal == SIGKILL) {
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
  }
}

bool Entry::IsAlive() {
  if (this->pid <= 0) {
    return false;
  }
  if (waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    this->pid = -1;
    return false;
  }
  return true;
}

std::int64_t Entry::AnonymousKib() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("RssAnon:")) {
      return std::atoll(line.c_str() + 8);
    }
  }
  return 0;
}

std::string MakeConfig(int version, const std::vector<Route>& routes,
                       const std::string& service,
                       const std::string& tenants) {
  std::string rows;
  for (const Route& route : routes) {
    std::ostringstream row;
    row << "{\"name\":\"" << route.name
        << "\",\"hostname\":\"work.example\",\"pathPrefix\":\"" << route.prefix
        << "\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":"
        << route.target_ms << ",\"priority\":" << route.priority
        << ",\"service\":\"" << service
        << "\",\"maxAttempts\":" << route.max_attempts
        << ",\"stretch\":" << route.stretch << "}";
    rows += std::string(rows.empty() ? "" : ",") + row.str();
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + rows +
         "],\"services\":[{\"name\":\"" + service +
         "\",\"healthPath\":\"/health\",\"maxConnections\":64,"
         "\"protocol\":\"h1\",\"tls\":false,\"admissionCheck\":false,"
         "\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
         "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000}" +
         (tenants.empty() ? "" : ",\"tenants\":" + tenants) + "}";
}

std::string MakeId(std::uint64_t number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15ULL));
  return text;
}

}  // namespace standin3
