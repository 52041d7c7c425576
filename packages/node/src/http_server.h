#ifndef BASILSPREAD_NODE_HTTP_SERVER_H_
#define BASILSPREAD_NODE_HTTP_SERVER_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>

#include "basilspread/config/node_settings.h"

namespace basilspread::node {

/// Handles a request. Exceptions close the connection.
using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&,
                                       Poco::Net::HTTPServerResponse&)>;

/// Creates a POCO server on `endpoint` that passes all requests to `handler`.
/// Throws Poco::Exception if the address cannot be bound.
std::unique_ptr<Poco::Net::HTTPServer> MakeHttpServer(
    const config::Endpoint& endpoint, Poco::ThreadPool& pool, int max_threads,
    HttpHandler handler);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_HTTP_SERVER_H_
