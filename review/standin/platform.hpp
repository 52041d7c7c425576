// Stand-ins of the platform's store and of minions, as PROTOCOL.md says them.
#ifndef REVIEW_STANDIN_PLATFORM_HPP_
#define REVIEW_STANDIN_PLATFORM_HPP_

#include <cctype>
#include <cstdlib>
#include <deque>
#include <optional>
#include <set>
#include <sstream>

#include "net.hpp"

namespace review {

/// A parsed JSON value.
struct Json {
  enum class Kind { kNull, kBool, kNumber, kText, kList, kObject };
  Kind kind = Kind::kNull;
  bool flag = false;
  double number = 0;
  std::string text;
  std::vector<Json> list;
  std::map<std::string, Json> members;

  bool Has(const std::string& name) const { return this->members.contains(name); }
  const Json& operator[](const std::string& name) const {
    static const Json kNothing;
    const auto found = this->members.find(name);
    return found == this->members.end() ? kNothing : found->second;
  }
  std::int64_t Int() const { return static_cast<std::int64_t>(this->number); }

  static Json Parse(const std::string& text) {
    std::size_t at = 0;
    return ParseValue(text, at);
  }

 private:
  static void Skip(const std::string& t, std::size_t& at) {
    while (at < t.size() && std::isspace(static_cast<unsigned char>(t[at]))) {
      ++at;
    }
  }
  static std::string ParseText(const std::string& t, std::size_t& at) {
    std::string out;
    for (++at; at < t.size() && t[at] != '"'; ++at) {
      if (t[at] == '\\' && at + 1 < t.size()) {
        ++at;
      }
      out += t[at];
    }
    ++at;
    return out;
  }
  static Json ParseValue(const std::string& t, std::size_t& at) {
    Json value;
    Skip(t, at);
    if (at >= t.size()) {
      return value;
    }
    if (t[at] == '{') {
      value.kind = Kind::kObject;
      ++at;
      for (Skip(t, at); at < t.size() && t[at] != '}'; Skip(t, at)) {
        const std::string name = ParseText(t, at);
        Skip(t, at);
        ++at;
        value.members[name] = ParseValue(t, at);
        Skip(t, at);
        at += at < t.size() && t[at] == ',' ? 1 : 0;
      }
      ++at;
    } else if (t[at] == '[') {
      value.kind = Kind::kList;
      ++at;
      for (Skip(t, at); at < t.size() && t[at] != ']'; Skip(t, at)) {
        value.list.push_back(ParseValue(t, at));
        Skip(t, at);
        at += at < t.size() && t[at] == ',' ? 1 : 0;
      }
      ++at;
    } else if (t[at] == '"') {
      value.kind = Kind::kText;
      value.text = ParseText(t, at);
    } else if (std::isalpha(static_cast<unsigned char>(t[at]))) {
      value.kind = t[at] == 'n' ? Kind::kNull : Kind::kBool;
      value.flag = t[at] == 't';
      while (at < t.size() && std::isalpha(static_cast<unsigned char>(t[at]))) {
        ++at;
      }
    } else {
      value.kind = Kind::kNumber;
      const std::size_t begin = at;
      while (at < t.size() && std::strchr("+-.eE0123456789", t[at]) != nullptr) {
        ++at;
      }
      if (at == begin) {
        ++at;
      } else {
        value.number = std::stod(t.substr(begin, at - begin));
      }
    }
    return value;
  }
};

inline std::string Base64(const std::string& bytes) {
  static const char* kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t chunk = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      chunk = chunk << 8U |
              (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += j <= count ? kLetters[chunk >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return out;
}

inline std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out += static_cast<char>(value >> (8 * i) & 255U);
  }
  return out;
}

inline std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::stringstream parts(target.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const std::size_t equals = part.find('=');
    std::string value;
    for (std::size_t i = equals + 1; i < part.size(); ++i) {
      if (part[i] == '%' && i + 2 < part.size()) {
        value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += part[i];
      }
    }
    query[part.substr(0, equals)] = value;
  }
  return query;
}

/// What the store does with a call of a node.
enum class StoreMode { kServe, kBusy, kSilent };

/// The platform's store: partition 0 of each topic, and groups with one
/// partition. One address for each node.
class Store {
 public:
  explicit Store(Loop& event_loop) : loop(event_loop) {}

  /// Decides what becomes of a call; `node` counts from 0.
  std::function<StoreMode(std::size_t node, const std::string& path,
                          const Request&)>
      mode;

  int AddNode() {
    const std::size_t node = this->nodes++;
    return this->loop.Listen(
        [this, node](const Request& request) { this->Handle(node, request); });
  }

  /// What the operator and the minions write; an empty value removes the key.
  void Write(const std::string& topic, const std::string& key,
             const std::string& value) {
    this->Add(this->topics[topic],
              std::string(1, static_cast<char>(key.size())) + key + value);
    this->Wake();
  }
  std::string Leader() {
    for (auto& [name, group] : this->groups) {
      this->Settle(group);
      return group.owner;
    }
    return "";
  }
  std::size_t KeysOf(const std::string& topic) {
    return this->topics[topic].newest.size();
  }
  /// Memberships do not lapse while the store is away.
  void Postpone(std::int64_t ms) {
    for (auto& [name, group] : this->groups) {
      for (auto& [member, until] : group.members) {
        until += ms;
      }
    }
  }
  std::uint64_t calls = 0;

 private:
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence;
    std::map<std::uint64_t, std::string> answers;
  };
  struct Group {
    std::map<std::string, std::int64_t> members;
    std::uint64_t generation = 0;
    std::string owner;
    std::string topic;
  };
  struct Waiting {
    std::uint64_t connection = 0;
    std::string topic;
    std::uint64_t from = 0;
    std::int64_t until = 0;
  };

  void Add(Topic& topic, const std::string& record) {
    const std::size_t length = static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, length);
    const std::string value = record.substr(1 + length);
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {value, topic.records.size()};
    }
    topic.records.push_back(record);
  }

  void Settle(Group& group) {
    const std::int64_t now = NowMs();
    const auto lapsed = std::erase_if(
        group.members, [now](const auto& member) { return member.second < now; });
    group.generation += lapsed > 0 ? 1 : 0;
    if (!group.members.contains(group.owner)) {
      group.owner.clear();
      if (!group.members.empty()) {
        ++group.generation;
        group.owner = group.members.begin()->first;
      }
    }
  }

  static std::string Framed(const std::string& record) {
    return BigEndian(record.size(), 4) + record;
  }

  std::string ReadBody(const Topic& topic, std::uint64_t from) const {
    std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < topic.records.size() &&
                               body.size() < (std::size_t{1} << 20U);
         ++i) {
      body += Framed(topic.records[i]);
    }
    return body;
  }

  void Wake() {
    const std::int64_t now = NowMs();
    std::erase_if(this->waiting, [&](const Waiting& read) {
      const Topic& topic = this->topics[read.topic];
      const bool is_due = topic.records.size() > read.from || read.until <= now;
      const bool is_silent =
          this->mode && this->mode(0, "", Request{}) == StoreMode::kSilent;
      if (is_due && !is_silent) {
        this->loop.Reply(read.connection,
                         {200, this->ReadBody(topic, read.from),
                          "application/octet-stream"});
      }
      return is_due;
    });
  }

  void Handle(std::size_t node, const Request& request) {
    ++this->calls;
    const std::string path = request.target.substr(0, request.target.find('?'));
    const StoreMode now =
        this->mode ? this->mode(node, path, request) : StoreMode::kServe;
    if (now == StoreMode::kSilent) {
      return;
    }
    if (now == StoreMode::kBusy) {
      this->loop.Reply(request.connection, {503, "{}"});
      return;
    }
    auto query = QueryOf(request.target);
    if (path == "/v1/log-append") {
      this->loop.Reply(request.connection, this->Append(query, request.body), 3);
      this->Wake();
    } else if (path == "/v1/log-read") {
      const std::uint64_t from = std::stoull(query["from"]);
      const Topic& topic = this->topics[query["topic"]];
      const std::int64_t wait =
          query.contains("waitMs") ? std::stoll(query["waitMs"]) : 0;
      if (topic.records.size() > from || wait == 0) {
        this->loop.Reply(request.connection,
                         {200, this->ReadBody(topic, from),
                          "application/octet-stream"});
        return;
      }
      this->waiting.push_back(
          {request.connection, query["topic"], from, NowMs() + wait});
      this->loop.In(wait + 1, [this] { this->Wake(); });
    } else if (path == "/v1/log-newest") {
      this->loop.Reply(request.connection, this->Newest(query), 4);
    } else if (path == "/v1/log-join") {
      this->loop.Reply(request.connection, this->Join(request.body), 4);
    } else if (path == "/v1/log-leave") {
      const Json body = Json::Parse(request.body);
      Group& group = this->groups[body["group"].text];
      group.generation += group.members.erase(body["member"].text);
      this->Settle(group);
      this->loop.Reply(request.connection, {200, "{}"}, 4);
    } else if (path == "/v1/log-owners") {
      Group& group = this->groups[query["group"]];
      this->Settle(group);
      std::string rows;
      if (!group.owner.empty()) {
        rows = "[\"" + group.topic + "\",0,\"" + group.owner + "\",0]";
      }
      this->loop.Reply(request.connection, {200, "{\"parts\":[" + rows + "]}"},
                       4);
    } else {
      this->loop.Reply(request.connection, {400, "{}"});
    }
  }

  Response Append(std::map<std::string, std::string>& query,
                  const std::string& body) {
    Topic& topic = this->topics[query["topic"]];
    if (query.contains("producer")) {
      const std::uint64_t epoch = std::stoull(query["epoch"]);
      const std::uint64_t sequence = std::stoull(query["sequence"]);
      if (epoch < topic.epoch) {
        return {409, "{\"reason\":\"fenced\"}"};
      }
      if (epoch > topic.epoch) {
        topic.epoch = epoch;
        topic.sequence.reset();
        topic.answers.clear();
      }
      if (topic.answers.contains(sequence)) {
        return {200, topic.answers[sequence]};
      }
      if (topic.sequence && sequence != *topic.sequence + 1) {
        return {409, "{\"reason\":\"seq\",\"sequence\":" +
                         std::to_string(*topic.sequence + 1) + "}"};
      }
      topic.sequence = sequence;
    }
    const std::size_t offset = topic.records.size();
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = length << 8U | static_cast<unsigned char>(body[at + i]);
      }
      this->Add(topic, body.substr(at + 4, length));
      at += 4 + length;
    }
    const std::string answer =
        "{\"offset\":" + std::to_string(offset) +
        ",\"end\":" + std::to_string(topic.records.size()) + "}";
    if (topic.sequence) {
      topic.answers[*topic.sequence] = answer;
      while (topic.answers.size() > 5) {
        topic.answers.erase(topic.answers.begin());
      }
    }
    return {200, answer};
  }

  Response Newest(std::map<std::string, std::string>& query) {
    const Topic& topic = this->topics[query["topic"]];
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto item = topic.newest.upper_bound(query["after"]);
         item != topic.newest.end(); ++item) {
      if (count == 500 || items.size() > (std::size_t{1} << 20U)) {
        more = true;
        break;
      }
      items += (count++ == 0 ? "" : ",");
      items += "{\"key\":\"" + item->first + "\",\"value\":\"" +
               Base64(item->second.first) +
               "\",\"offset\":" + std::to_string(item->second.second) + "}";
    }
    return {200, "{\"items\":[" + items +
                     "],\"hasMore\":" + (more ? "true" : "false") +
                     ",\"end\":" + std::to_string(topic.records.size()) + "}"};
  }

  Response Join(const std::string& text) {
    const Json body = Json::Parse(text);
    Group& group = this->groups[body["group"].text];
    const std::string& member = body["member"].text;
    group.topic = body["topics"].list.at(0).text;
    this->Settle(group);
    group.generation += group.members.contains(member) ? 0 : 1;
    group.members[member] = NowMs() + body["ttlMs"].Int();
    this->Settle(group);
    const std::string parts =
        group.owner == member ? "[\"" + group.topic + "\",0,0]" : "";
    return {200, "{\"generation\":" + std::to_string(group.generation) +
                     ",\"ttlMs\":" + std::to_string(body["ttlMs"].Int()) +
                     ",\"parts\":[" + parts + "]}"};
  }

  Loop& loop;
  std::size_t nodes = 0;
  std::map<std::string, Topic> topics;
  std::map<std::string, Group> groups;
  std::vector<Waiting> waiting;
};

/// Told of what minions see.
struct Watch {
  std::function<void(const std::string& minion, std::uint64_t born,
                     const std::string& task, int run,
                     const std::vector<std::string>& labels)>
      started;
  std::function<void(const std::string& minion, const std::string& task,
                     int run, const std::string& how, std::int64_t number)>
      ended;
  /// ackedThrough has reached the end.
  std::function<void(const std::string& minion, const std::string& task,
                     int run, const std::string& how, bool lapsed_between)>
      noted;
};

/// A minion.
class Minion {
 public:
  Minion(Loop& event_loop, Store& its_store, Watch& its_watch, std::string its_id,
         std::string its_kind, std::string its_rack, std::string its_zone)
      : id(std::move(its_id)),
        kind(std::move(its_kind)),
        loop(event_loop),
        store(its_store),
        watch(its_watch),
        rack(std::move(its_rack)),
        zone(std::move(its_zone)) {
    this->port = this->loop.Listen(
        [this](const Request& request) { this->Handle(request); });
    this->BeginLife();
  }

  const std::string id;
  std::string kind;
  int cores = 64;
  /// How long a task works, in milliseconds.
  std::function<std::int64_t(const std::string& task)> run_time;
  /// How a run ends that is neither stopped nor lapses.
  std::function<std::string(const std::string& task)> outcome =
      [](const std::string&) { return "done"; };
  /// What a minion says of a run's progress.
  std::function<int(const std::string& task)> percent =
      [](const std::string&) { return 50; };
  std::string service = "planners";
  /// Whether the next order is carried out late.
  std::function<bool()> late;
  /// A minion that is cut off answers nothing, and neither beats.
  bool is_cut = false;
  bool is_up = true;
  bool is_draining = false;
  std::int64_t beat_ms = 1500;
  std::int64_t max_hold_ms = 6000;

  void BeginLife() {
    ++this->life;
    this->is_up = true;
    this->born = static_cast<std::uint64_t>(UnixMs());
    this->started = NowMs();
    this->sequence = 0;
    this->fence = 0;
    this->hold_until = 0;
    this->runs.clear();
    this->highest.clear();
    this->ends.clear();
    this->last_end = 0;
    this->holds.clear();
    this->Beat(this->life);
  }
  /// Everything there is gone; `kind` may change before the next life.
  void Crash() {
    this->is_up = false;
    ++this->life;
    for (const Hold& hold : this->holds) {
      this->loop.Drop(hold.connection);
    }
    this->holds.clear();
    this->runs.clear();
  }
  std::size_t Running() const { return this->runs.size(); }
  std::size_t Unnoted() const { return this->ends.size(); }
  std::uint64_t Born() const { return this->born; }
  void Publish() {
    std::ostringstream text;
    text << "{\"service\":\"" << this->service
         << "\",\"address\":\"127.0.0.1:" << this->port
         << "\",\"zone\":\"" << this->zone
         << "\",\"version\":\"v1\",\"slots\":8,\"state\":\""
         << (this->is_draining ? "draining" : "ready")
         << "\",\"coldRemainingMs\":0,\"capacity\":{\"cpu\":"
         << this->cores * 1000
         << ",\"memoryRequestMb\":262144,\"gpu\":0},\"labels\":[\""
         << this->kind << "\",\"" << this->rack << "\"],\"clockMs\":"
         << this->Clock() << ",\"sequence\":" << ++this->sequence
         << ",\"born\":" << this->born << "}";
    this->store.Write("keyed.servers", this->id, text.str());
  }

 private:
  struct Run {
    int number = 0;
    bool stopping = false;
  };
  struct Ended {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    bool lapsed_since = false;
  };
  struct Hold {
    std::uint64_t connection = 0;
    std::int64_t until = 0;
  };

  std::int64_t Clock() const { return NowMs() - this->started; }

  void Beat(std::uint64_t of_life) {
    if (of_life != this->life) {
      return;
    }
    if (!this->is_cut && !this->store_away()) {
      this->Publish();
    }
    this->loop.In(this->beat_ms, [this, of_life] { this->Beat(of_life); });
  }

 public:
  /// Whether the store takes no writes of minions.
  std::function<bool()> store_away = [] { return false; };

 private:
  void Handle(const Request& request) {
    if (this->is_up && this->late && this->late()) {
      // Gets no answer, and is carried out seconds later.
      this->loop.In(2000 + std::rand() % 2000,
                    [this, request] { this->Carry(request); });
      return;
    }
    this->Carry(request);
  }

  void Carry(const Request& request) {
    if (!this->is_up) {
      this->loop.Drop(request.connection);
      return;
    }
    if (this->is_cut) {
      return;
    }
    if (request.headers.contains("expect-instance") &&
        request.headers.at("expect-instance") != this->id) {
      this->loop.Reply(request.connection, {421, "{}"});
      return;
    }
    const Json body = Json::Parse(request.body);
    const auto token = static_cast<std::uint64_t>(body["fencingToken"].Int());
    this->Lapse();
    if (token < this->fence) {
      this->Refuse(request, "fence");
      return;
    }
    this->fence = token;
    if (request.target == "/v1/run-start") {
      this->Start(request, body);
    } else if (request.target == "/v1/run-stop") {
      this->Stop(request, body);
    } else if (request.target == "/v1/hold") {
      this->Look(request, body);
    } else {
      this->loop.Reply(request.connection, {400, "{}"});
    }
  }

  std::string Stamp() const {
    return "\"clockMs\":" + std::to_string(this->Clock()) +
           ",\"born\":" + std::to_string(this->born);
  }
  void Refuse(const Request& request, const std::string& reason) {
    this->loop.Reply(request.connection,
                     {409, "{" + this->Stamp() + ",\"reason\":\"" + reason + "\"}"});
  }

  void Extend(const Json& body) {
    if (!body.Has("deadlineMs")) {
      return;
    }
    const std::int64_t until =
        std::min(body["deadlineMs"].Int(), this->Clock() + this->max_hold_ms);
    if (until > this->hold_until) {
      this->hold_until = until;
      const std::uint64_t of_life = this->life;
      this->loop.In(until - this->Clock() + 1, [this, of_life] {
        if (of_life == this->life) {
          this->Lapse();
        }
      });
    }
  }
  void Lapse() {
    if (this->Clock() < this->hold_until || this->hold_until == 0) {
      return;
    }
    for (Ended& end : this->ends) {
      end.lapsed_since = true;
    }
    std::vector<std::string> tasks;
    for (const auto& [task, run] : this->runs) {
      tasks.push_back(task);
    }
    for (const std::string& task : tasks) {
      this->End(task, "lapsed");
    }
  }

  void Start(const Request& request, const Json& body) {
    const std::string task = body["task"].text;
    const int run = static_cast<int>(body["run"].Int());
    const auto there = this->runs.find(task);
    if (there != this->runs.end() && there->second.number == run) {
      this->Extend(body);
      this->loop.Reply(request.connection, {200, "{" + this->Stamp() + "}"});
      return;
    }
    if (body["deadlineMs"].Int() <= this->Clock()) {
      this->Refuse(request, "late");
      return;
    }
    this->Extend(body);
    if (run <= this->highest[task] || there != this->runs.end()) {
      this->Refuse(request, "old");
      return;
    }
    this->runs[task] = {run, false};
    const std::uint64_t of_life = this->life;
    this->watch.started(this->id, this->born, task, run, {this->kind, this->rack});
    this->loop.In(this->run_time(task), [this, of_life, task, run] {
      const auto found = this->runs.find(task);
      if (of_life == this->life && found != this->runs.end() &&
          found->second.number == run && !found->second.stopping) {
        this->End(task, this->outcome(task));
      }
    });
    this->loop.Reply(request.connection, {200, "{" + this->Stamp() + "}"});
  }

  void Stop(const Request& request, const Json& body) {
    const std::string task = body["task"].text;
    const int run = static_cast<int>(body["run"].Int());
    this->highest[task] = std::max(this->highest[task], run);
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.number <= run &&
        !found->second.stopping) {
      found->second.stopping = true;
      const std::uint64_t of_life = this->life;
      this->loop.In(100, [this, of_life, task] {
        if (of_life == this->life && this->runs.contains(task)) {
          this->End(task, "stopped");
        }
      });
    }
    this->loop.Reply(request.connection, {200, "{" + this->Stamp() + "}"});
  }

  void Look(const Request& request, const Json& body) {
    this->Extend(body);
    const std::int64_t acked = body["ackedThrough"].Int();
    while (!this->ends.empty() && this->ends.front().number <= acked) {
      const Ended end = this->ends.front();
      this->ends.pop_front();
      this->watch.noted(this->id, end.task, end.run, end.how, end.lapsed_since);
    }
    const std::int64_t wait = std::min<std::int64_t>(body["waitMs"].Int(), 2000);
    if (!this->ends.empty() || wait <= 0) {
      this->loop.Reply(request.connection, {200, this->Lists()});
      return;
    }
    this->holds.push_back({request.connection, NowMs() + wait});
    const std::uint64_t of_life = this->life;
    this->loop.In(wait + 1, [this, of_life] {
      if (of_life == this->life) {
        this->WakeHolds();
      }
    });
  }

  void WakeHolds() {
    if (this->is_cut) {
      return;
    }
    std::erase_if(this->holds, [this](const Hold& hold) {
      const bool is_due = !this->ends.empty() || hold.until <= NowMs();
      if (is_due) {
        this->loop.Reply(hold.connection, {200, this->Lists()});
      }
      return is_due;
    });
  }

  std::string Lists() const {
    std::string running;
    for (const auto& [task, run] : this->runs) {
      running += (running.empty() ? "" : ",");
      running += "[\"" + task + "\"," + std::to_string(run.number) + ",\"\"," +
                 std::to_string(this->percent(task)) + "]";
    }
    std::string ended;
    std::size_t count = 0;
    for (const Ended& end : this->ends) {
      if (count++ == 500) {  // PROTOCOL: 500 at a time
        break;
      }
      ended += (ended.empty() ? "" : ",");
      ended += "[" + std::to_string(end.number) + ",\"" + end.task + "\"," +
               std::to_string(end.run) + ",\"" + end.how + "\",\"\"]";
    }
    return "{" + this->Stamp() + ",\"running\":[" + running +
           "],\"endedRuns\":[" + ended + "]}";
  }

  void End(const std::string& task, const std::string& how) {
    const int run = this->runs.at(task).number;
    this->runs.erase(task);
    this->highest[task] = std::max(this->highest[task], run);
    this->ends.push_back({++this->last_end, task, run, how, how == "lapsed"});
    this->watch.ended(this->id, task, run, how, this->last_end);
    const std::uint64_t of_life = this->life;
    this->loop.In(0, [this, of_life] {
      if (of_life == this->life) {
        this->WakeHolds();
      }
    });
  }

  Loop& loop;
  Store& store;
  Watch& watch;
  const std::string rack;
  const std::string zone;
  int port = 0;
  std::uint64_t life = 0;
  std::uint64_t born = 0;
  std::int64_t started = 0;
  std::int64_t sequence = 0;
  std::uint64_t fence = 0;
  std::int64_t hold_until = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, int> highest;
  std::deque<Ended> ends;
  std::int64_t last_end = 0;
  std::vector<Hold> holds;
};

}  // namespace review

#endif  // REVIEW_STANDIN_PLATFORM_HPP_
