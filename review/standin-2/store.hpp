// A stand-in of the platform's store, as PROTOCOL.md tells it: keyed topics,
// numbered appends, reads that wait, and groups of 16 partitions.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <rapidjson/document.h>

#include "http.hpp"

namespace review {

inline std::string Base64(const std::string& bytes) {
  static const char* const kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8U |
             (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += k <= count ? kLetters[bits >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

inline std::string Quote(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c;
  }
  return out + "\"";
}

class Store {
 public:
  Store() : server([this](const HttpRequest& request) {
      return this->Handle(request);
    }) {}

  std::string Address() const { return this->server.Address(); }

  // A record that the operator or a server writes; an empty value drops it.
  void Write(const std::string& topic, const std::string& key,
             const std::string& value) {
    const std::lock_guard lock(this->mutex);
    this->Add(this->topics[topic],
              std::string(1, static_cast<char>(key.size())) + key + value);
    this->changed.notify_all();
  }

  bool Has(const std::string& topic, const std::string& key) {
    const std::lock_guard lock(this->mutex);
    return this->topics[topic].newest.contains(key);
  }

  // The member of any group that holds partition 0; empty without one.
  std::string Leader() {
    const std::lock_guard lock(this->mutex);
    for (auto& [name, group] : this->groups) {
      this->Settle(group);
      return group.owners[0];
    }
    return "";
  }

  // Answers come this many milliseconds later.
  std::atomic<int> slowness{0};

 private:
  static constexpr std::size_t kParts = 16;
  static constexpr std::size_t kMaxRecord = 262144;
  static constexpr std::size_t kMaxRequest = 2097152;

  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence;
    std::map<std::uint64_t, std::string> answers;
  };
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    std::map<std::string, Producer> producers;
  };
  struct Group {
    std::uint64_t generation = 0;
    std::string topic;
    std::map<std::string, Clock::time_point> members;
    std::map<std::string, Millis> times;
    std::string owners[kParts];
    std::string next[kParts];
  };

  static std::uint64_t Number(const HttpRequest& request,
                              const std::string& name) {
    const auto found = request.query.find(name);
    return found == request.query.end()
               ? 0
               : std::strtoull(found->second.c_str(), nullptr, 10);
  }
  static std::string Text(const HttpRequest& request, const std::string& name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
  }
  static std::string BigEndian(std::uint64_t number, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
      out += static_cast<char>(number >> (8 * i) & 255U);
    }
    return out;
  }

  void Add(Topic& topic, const std::string& content) {
    const std::size_t length =
        content.empty() ? 0 : static_cast<unsigned char>(content[0]);
    const std::string key = content.substr(1, length);
    const std::string value = content.substr(1 + length);
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {value, topic.records.size()};
    }
    topic.records.push_back(content);
  }

  HttpResponse Handle(const HttpRequest& request) {
    HttpResponse response = this->CarryOut(request);
    std::this_thread::sleep_for(Millis(this->slowness));
    return response;
  }

  HttpResponse CarryOut(const HttpRequest& request) {
    if (request.path == "/v1/log-append") {
      return this->Append(request);
    }
    if (request.path == "/v1/log-read") {
      return this->Read(request);
    }
    if (request.path == "/v1/log-newest") {
      return this->Newest(request);
    }
    if (request.path == "/v1/log-owners") {
      return this->Owners(request);
    }
    rapidjson::Document body;
    body.Parse(request.body.c_str());
    if (body.HasParseError() || !body.IsObject()) {
      return {400, "{}"};
    }
    if (request.path == "/v1/log-join") {
      return this->Join(body);
    }
    if (request.path == "/v1/log-leave") {
      return this->Leave(body);
    }
    return {404, "{}"};
  }

  HttpResponse Append(const HttpRequest& request) {
    std::this_thread::sleep_for(Millis(3));
    std::vector<std::string> records;
    std::size_t at = 0;
    const std::string& body = request.body;
    while (at + 4 <= body.size()) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        length = length << 8U | static_cast<unsigned char>(body[at + i]);
      }
      if (length > kMaxRecord || at + 4 + length > body.size()) {
        return {413, "{}"};
      }
      records.push_back(body.substr(at + 4, length));
      at += 4 + length;
    }
    if (body.size() > kMaxRequest) {
      return {413, "{}"};
    }
    const std::lock_guard lock(this->mutex);
    Topic& topic = this->topics[Text(request, "topic")];
    const std::string name = Text(request, "producer");
    if (!name.empty()) {
      Producer& producer = topic.producers[name];
      const std::uint64_t epoch = Number(request, "epoch");
      const std::uint64_t sequence = Number(request, "sequence");
      if (epoch < producer.epoch) {
        return {409, "{\"reason\":\"fenced\",\"epoch\":" +
                         std::to_string(producer.epoch) + "}"};
      }
      if (epoch > producer.epoch) {
        producer = Producer{epoch, std::nullopt, {}};
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
      producer.answers[sequence] =
          "{\"offset\":" + std::to_string(topic.records.size()) +
          ",\"end\":" + std::to_string(topic.records.size() + records.size()) +
          "}";
      if (producer.answers.size() > 5) {
        producer.answers.erase(producer.answers.begin());
      }
    }
    const std::size_t offset = topic.records.size();
    for (const std::string& record : records) {
      this->Add(topic, record);
    }
    this->changed.notify_all();
    return {200, "{\"offset\":" + std::to_string(offset) +
                     ",\"end\":" + std::to_string(topic.records.size()) + "}"};
  }

  HttpResponse Read(const HttpRequest& request) {
    const std::uint64_t from = Number(request, "from");
    const auto until = Clock::now() + Millis(Number(request, "waitMs"));
    std::unique_lock lock(this->mutex);
    Topic& topic = this->topics[Text(request, "topic")];
    this->changed.wait_until(
        lock, until, [&] { return topic.records.size() > from; });
    std::string body =
        BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from;
         i < topic.records.size() && body.size() < (1U << 20U); ++i) {
      body += BigEndian(topic.records[i].size(), 4) + topic.records[i];
    }
    return {200, body, "application/octet-stream"};
  }

  HttpResponse Newest(const HttpRequest& request) {
    const std::lock_guard lock(this->mutex);
    Topic& topic = this->topics[Text(request, "topic")];
    std::string items;
    std::size_t count = 0;
    bool has_more = false;
    for (auto item = topic.newest.upper_bound(Text(request, "after"));
         item != topic.newest.end(); ++item) {
      if (count == 500 || items.size() > (1U << 20U)) {
        has_more = true;
        break;
      }
      items += (count++ == 0 ? "" : ",");
      items += "{\"key\":" + Quote(item->first) + ",\"value\":\"" +
               Base64(item->second.first) +
               "\",\"offset\":" + std::to_string(item->second.second) + "}";
    }
    return {200, "{\"items\":[" + items + "],\"hasMore\":" +
                     (has_more ? "true" : "false") +
                     ",\"end\":" + std::to_string(topic.records.size()) + "}"};
  }

  // Partitions are dealt evenly. One that moves stays with its holder until the
  // holder has joined with the new generation, has left or has lapsed.
  void Deal(Group& group) {
    ++group.generation;
    const std::size_t members = group.members.size();
    std::map<std::string, std::size_t> held;
    for (std::size_t i = 0; i < kParts; ++i) {
      group.next[i].clear();
      if (!group.members.contains(group.owners[i])) {
        group.owners[i].clear();
      }
      const std::size_t most = members == 0 ? 0 : (kParts + members - 1) / members;
      if (!group.owners[i].empty() && held[group.owners[i]] < most) {
        ++held[group.owners[i]];
      } else {
        group.next[i] = "?";
      }
    }
    for (std::size_t i = 0; i < kParts; ++i) {
      if (group.next[i].empty() || members == 0) {
        group.next[i].clear();
        continue;
      }
      std::string least = group.members.begin()->first;
      for (const auto& [member, until] : group.members) {
        least = held[member] < held[least] ? member : least;
      }
      ++held[least];
      group.next[i] = least == group.owners[i] ? "" : least;
      if (group.owners[i].empty()) {
        group.owners[i] = std::exchange(group.next[i], "");
      }
    }
  }

  void Settle(Group& group) {
    const auto now = Clock::now();
    const auto count = std::erase_if(group.members, [now](const auto& member) {
      return member.second < now;
    });
    if (count > 0) {
      this->Deal(group);
    }
  }

  HttpResponse Join(const rapidjson::Document& body) {
    const std::lock_guard lock(this->mutex);
    Group& group = this->groups[body["group"].GetString()];
    const std::string member = body["member"].GetString();
    group.topic = body["topics"][0].GetString();
    this->Settle(group);
    const bool is_new = !group.members.contains(member);
    group.members[member] = Clock::now() + Millis(body["ttlMs"].GetInt64());
    if (is_new) {
      this->Deal(group);
    }
    if (body["generation"].GetUint64() >= group.generation) {
      for (std::size_t i = 0; i < kParts; ++i) {
        if (group.owners[i] == member && !group.next[i].empty()) {
          group.owners[i] = std::exchange(group.next[i], "");
        }
      }
    }
    std::string rows;
    for (std::size_t i = 0; i < kParts; ++i) {
      if (group.owners[i] == member && group.next[i].empty()) {
        rows += (rows.empty() ? "" : ",") + std::string("[") +
                Quote(group.topic) + "," + std::to_string(i) + ",0]";
      }
    }
    return {200, "{\"generation\":" + std::to_string(group.generation) +
                     ",\"ttlMs\":" + std::to_string(body["ttlMs"].GetInt64()) +
                     ",\"parts\":[" + rows + "]}"};
  }

  HttpResponse Leave(const rapidjson::Document& body) {
    const std::lock_guard lock(this->mutex);
    Group& group = this->groups[body["group"].GetString()];
    this->Settle(group);
    if (group.members.erase(body["member"].GetString()) > 0) {
      this->Deal(group);
    }
    return {200, "{}"};
  }

  HttpResponse Owners(const HttpRequest& request) {
    const std::lock_guard lock(this->mutex);
    Group& group = this->groups[Text(request, "group")];
    this->Settle(group);
    std::string rows;
    for (std::size_t i = 0; i < kParts; ++i) {
      if (!group.owners[i].empty()) {
        rows += (rows.empty() ? "" : ",") + std::string("[") +
                Quote(group.topic) + "," + std::to_string(i) + "," +
                Quote(group.owners[i]) + ",0]";
      }
    }
    return {200, "{\"parts\":[" + rows + "]}"};
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
  std::map<std::string, Group> groups;
  HttpServer server;
};

}  // namespace review
