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

/// Handlers of the platform's services and of a minion.
Handler MakeLog();
Handler MakeHostList();
Handler MakeMinion(const std::string& name, int slots);

}  // namespace standin

#endif  // BASILSPREAD_TESTS_STANDIN_STANDIN_H_
