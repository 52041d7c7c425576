#include "basilspread/platform/host_list_client.h"

#include <Poco/JSON/Parser.h>

#include <utility>

#include "http.h"

namespace basilspread::platform {
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

}  // namespace

HostListClient::HostListClient(std::string list_host, std::uint16_t list_port,
                               Duration timeout)
    : host(std::move(list_host)), port(list_port), call_timeout(timeout) {}

HostsListed HostListClient::List() const {
  HttpCall call;
  call.host = this->host;
  call.port = this->port;
  call.method = "GET";
  call.target = "/hosts";
  call.timeout = this->call_timeout;
  HostsListed listed;
  const Result<std::string> body = Exchange(call);
  if (!body) {
    return listed;
  }
  try {
    Poco::JSON::Parser parser;
    const auto root = parser.parse(body.value()).extract<Object::Ptr>();
    const Array::Ptr hosts = root->getArray("hosts");
    for (std::size_t i = 0; i < hosts->size(); ++i) {
      listed.hosts.push_back(
          ReadHost(*hosts->getObject(static_cast<unsigned>(i))));
    }
    listed.ok = true;
  } catch (const Poco::Exception&) {
    listed.hosts.clear();
  }
  return listed;
}

}  // namespace basilspread::platform
