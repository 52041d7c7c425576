#ifndef BASILSPREAD_TESTS_STANDIN_STANDIN_H_
#define BASILSPREAD_TESTS_STANDIN_STANDIN_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace standin {

using Handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                   Poco::Net::HTTPServerResponse&)>;

/// Serves on 127.0.0.1 until the process is ended.
void Serve(std::uint16_t port, const Handler& handler);

std::string ReadBody(Poco::Net::HTTPServerRequest& request);
void Reply(Poco::Net::HTTPServerResponse& response, int status,
           const std::string& body);

/// What a worker has.
struct WorkerCapacity {
  std::int64_t cpu_millicores = 0;
  std::int64_t memory_mebibytes = 0;
  std::int64_t accelerators = 0;
};

/// Handlers of the platform's services, of a minion and of a worker.
Handler MakeLog();
Handler MakeHostList();
/// Relays connections of `port` to `target`; POST controls it.
Handler MakeLink(std::uint16_t port, std::uint16_t target);
Handler MakeMinion(const std::string& name, int slots);
Handler MakeWorker(const WorkerCapacity& capacity);

}  // namespace standin

#endif  // BASILSPREAD_TESTS_STANDIN_STANDIN_H_
