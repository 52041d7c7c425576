#include "basilspread/clients/log_client.h"

#include <Poco/Base64Decoder.h>
#include <Poco/JSON/Parser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <sstream>
#include <utility>

#include "basilspread/wire/record_codec.h"
#include "http.h"

namespace basilspread::clients {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int kMaxRecordsPerRead = 256;

/// Percent-encodes the name: shard names contain "#", which would start the
/// fragment of the URI.
std::string PathOf(const StreamName& stream) {
  std::string encoded;
  Poco::URI::encode(stream.value, "#?%/ ", encoded);
  return "/streams/" + encoded;
}

std::string DecodeBase64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

void ParseRead(const std::string& body, LogRead& read) {
  Poco::JSON::Parser parser;
  const auto root = parser.parse(body).extract<Object::Ptr>();
  read.first_kept = Offset{root->getValue<Poco::UInt64>("first")};
  read.next = Offset{root->getValue<Poco::UInt64>("next")};
  read.at_end = root->getValue<bool>("end");
  const Array::Ptr records = root->getArray("records");
  for (std::size_t i = 0; i < records->size(); ++i) {
    const Object::Ptr record = records->getObject(static_cast<unsigned>(i));
    const std::string bytes =
        DecodeBase64(record->getValue<std::string>("data"));
    Result<LogBatch> batch = wire::DecodeBatch(bytes);
    // A record that this version cannot decode is skipped: a record of another
    // writer must not stop all readers of the stream.
    if (batch) {
      read.batches.push_back(
          StoredBatch{Offset{record->getValue<Poco::UInt64>("offset")},
                      std::move(batch).value()});
    }
  }
  read.ok = true;
}

}  // namespace

LogClient::LogClient(std::string log_host, std::uint16_t log_port,
                     Duration timeout, OpenResponse response_hook)
    : host(std::move(log_host)),
      port(log_port),
      call_timeout(timeout),
      open_response(std::move(response_hook)) {}

LogAppended LogClient::Append(const StreamName& stream,
                              const LogBatch& batch) const {
  HttpCall call;
  call.host = this->host;
  call.port = this->port;
  call.method = "POST";
  call.target = PathOf(stream);
  call.body = wire::EncodeBatch(batch);
  call.timeout = this->call_timeout;
  call.open_response = this->open_response;
  const Result<std::string> body = Exchange(call);
  LogAppended appended;
  appended.stream = stream;
  appended.id = batch.id;
  if (body) {
    appended.result = AppendResult::kStored;
  } else if (body.error().kind == ErrorKind::kLogUnavailable) {
    appended.result = AppendResult::kRefused;
  }
  return appended;
}

LogRead LogClient::Read(const StreamName& stream, Offset from) const {
  HttpCall call;
  call.host = this->host;
  call.port = this->port;
  call.method = "GET";
  call.target = fmt::format("{}?from={}&max={}", PathOf(stream), from.value,
                            kMaxRecordsPerRead);
  call.timeout = this->call_timeout;
  call.open_response = this->open_response;
  LogRead read;
  read.stream = stream;
  read.from = from;
  const Result<std::string> body = Exchange(call);
  if (!body) {
    return read;
  }
  try {
    ParseRead(body.value(), read);
  } catch (const Poco::Exception&) {
    read.ok = false;
  }
  return read;
}

}  // namespace basilspread::clients
