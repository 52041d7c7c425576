#include "basilspread/clients/host_list_client.h"

#include <Poco/JSON/Parser.h>

#include <utility>
#include <vector>

#include "http.h"

namespace basilspread::clients {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Host ReadHost(const Object& object) {
  Host host;
  host.name = HostName{object.getValue<std::string>("name")};
  host.address = object.getValue<std::string>("address");
  host.group = object.getValue<std::string>("group");
  host.zone = ZoneName{object.optValue<std::string>("zone", "")};
  host.rack = object.optValue<std::string>("rack", "");
  host.leaving = object.optValue<bool>("leaving", false);
  host.capacity.cpu_millicores =
      object.optValue<Poco::Int64>("cpu_millicores", 0);
  host.capacity.memory_mebibytes =
      object.optValue<Poco::Int64>("memory_mebibytes", 0);
  host.capacity.accelerators = object.optValue<Poco::Int64>("accelerators", 0);
  host.slots = object.optValue<Poco::UInt32>("slots", 0);
  host.connections = object.optValue<Poco::UInt32>("connections", 0);
  return host;
}

/// Throws Poco::Exception when the text is not a host list.
std::vector<Host> ReadHosts(const std::string& body) {
  Poco::JSON::Parser parser;
  const auto root = parser.parse(body).extract<Object::Ptr>();
  const Array::Ptr list = root->getArray("hosts");
  if (list.isNull()) {
    throw Poco::DataFormatException("the host list has no hosts");
  }
  std::vector<Host> hosts;
  hosts.reserve(list->size());
  for (std::size_t i = 0; i < list->size(); ++i) {
    hosts.push_back(ReadHost(*list->getObject(static_cast<unsigned>(i))));
  }
  return hosts;
}

}  // namespace

HostListClient::HostListClient(std::string list_host, std::uint16_t list_port,
                               Duration timeout)
    : host(std::move(list_host)), port(list_port), call_timeout(timeout) {}

HostsListed HostListClient::List() {
  const std::lock_guard lock(this->mutex);
  HttpCall call;
  call.host = this->host;
  call.port = this->port;
  call.method = "GET";
  call.target = "/hosts";
  call.known_version = this->version;
  call.timeout = this->call_timeout;
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
