#include "basilspread/clients/host_list_client.h"

#include <Poco/JSON/Parser.h>

#include <utility>
#include <vector>

#include "basilspread/core/limits.h"
#include "http.h"

namespace basilspread::clients {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

/// Upper bound of a minion's concurrent requests, and of its connections.
constexpr Poco::UInt32 kMaxSlots = 1'000'000;

/// Throws Poco::Exception if the member is not a string or is too long.
std::string ReadText(const Object& object, const std::string& key) {
  if (!object.get(key).isString()) {
    throw Poco::DataFormatException("a member is not a string");
  }
  std::string text = object.getValue<std::string>(key);
  if (text.size() > limits::kMaxNameBytes) {
    throw Poco::DataFormatException("a string is too long");
  }
  return text;
}

/// Throws Poco::Exception if the string is missing, empty or too long.
std::string ReadName(const Object& object, const std::string& key) {
  std::string text = ReadText(object, key);
  if (text.empty()) {
    throw Poco::DataFormatException("a name is empty");
  }
  return text;
}

/// Returns zero if the member is absent. Throws Poco::Exception if it has
/// another type: POCO's optValue() would return the default instead.
template <typename T>
T ReadOptional(const Object& object, const std::string& key) {
  return object.has(key) ? object.getValue<T>(key) : T{};
}

/// Returns false if the member is absent. Throws Poco::Exception if it is not a
/// boolean: POCO converts objects to bool.
bool ReadFlag(const Object& object, const std::string& key) {
  if (object.has(key) && !object.get(key).isBoolean()) {
    throw Poco::DataFormatException("a member is not a boolean");
  }
  return ReadOptional<bool>(object, key);
}

/// Throws Poco::Exception if the object is not a valid host.
Host ReadHost(const Object& object) {
  Host host;
  host.name = HostName{ReadName(object, "name")};
  host.address = ReadName(object, "address");
  host.group = ReadName(object, "group");
  host.zone = ZoneName{object.has("zone") ? ReadText(object, "zone") : ""};
  host.rack = object.has("rack") ? ReadText(object, "rack") : "";
  host.leaving = ReadFlag(object, "leaving");
  host.capacity.cpu_millicores =
      ReadOptional<Poco::Int64>(object, "cpu_millicores");
  host.capacity.memory_mebibytes =
      ReadOptional<Poco::Int64>(object, "memory_mebibytes");
  host.capacity.accelerators =
      ReadOptional<Poco::Int64>(object, "accelerators");
  host.slots = ReadOptional<Poco::UInt32>(object, "slots");
  host.connections = ReadOptional<Poco::UInt32>(object, "connections");
  if (!limits::IsWithin(host.capacity) || host.slots > kMaxSlots ||
      host.connections > kMaxSlots) {
    throw Poco::DataFormatException("a host's capacity is out of range");
  }
  return host;
}

/// Skips rows that are not valid hosts.
/// Throws Poco::Exception if the body is not a host list.
std::vector<Host> ReadHosts(const std::string& body) {
  Poco::JSON::Parser parser;
  const auto root = parser.parse(body).extract<Object::Ptr>();
  const Array::Ptr list = root->getArray("hosts");
  if (list.isNull()) {
    throw Poco::DataFormatException("the host list has no array \"hosts\"");
  }
  std::vector<Host> hosts;
  hosts.reserve(list->size());
  for (std::size_t i = 0; i < list->size(); ++i) {
    try {
      hosts.push_back(ReadHost(*list->getObject(static_cast<unsigned>(i))));
    } catch (const Poco::Exception&) {
      // One invalid row must not hide the others.
    }
  }
  return hosts;
}

}  // namespace

HostListClient::HostListClient(std::string list_host, std::uint16_t list_port,
                               Duration timeout, OpenResponse response_hook)
    : host(std::move(list_host)),
      port(list_port),
      call_timeout(timeout),
      open_response(std::move(response_hook)) {}

HostsListed HostListClient::List() {
  const std::lock_guard lock(this->mutex);
  HttpCall call;
  call.host = this->host;
  call.port = this->port;
  call.method = "GET";
  call.target = "/hosts";
  call.known_version = this->version;
  call.timeout = this->call_timeout;
  call.open_response = this->open_response;
  HostsListed listed;
  const Result<HttpAnswer> answer = Send(call);
  if (!answer) {
    return listed;
  }
  if (answer.value().status == kNotModified) {
    listed.ok = true;
    listed.unchanged = true;
    return listed;
  }
  try {
    listed.hosts = ReadHosts(answer.value().body);
    listed.ok = true;
    this->version = answer.value().version;
  } catch (const Poco::Exception&) {
    this->version.clear();
  }
  return listed;
}

}  // namespace basilspread::clients
