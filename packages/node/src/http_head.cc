#include "http_head.h"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace basilspread::node {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kBlanks = " \t";
/// Estimated size of the fields that every request has.
constexpr std::size_t kFixedHeadBytes = 128;
/// A longer body would exceed the memory of a process.
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 30U;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;
constexpr std::size_t kStatusDigits = 3;

Error Malformed(std::string detail) {
  return Error{ErrorKind::kProtocolMismatch, std::move(detail)};
}

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Compares without regard to case; `name` must be in lower case.
bool HasName(std::string_view text, std::string_view name) {
  return std::equal(text.begin(), text.end(), name.begin(), name.end(),
                    [](char a, char b) { return ToLower(a) == b; });
}

std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

bool IsTokenByte(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  const char lower = ToLower(c);
  return (lower >= 'a' && lower <= 'z') || (c >= '0' && c <= '9') ||
         kMarks.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenByte);
}

bool IsTextByte(char c) {
  constexpr char kDelete = '\x7f';
  return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != kDelete);
}

/// Parses a number that consists of decimal digits only.
template <typename Number>
std::optional<Number> ParseDigits(std::string_view text) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  const bool is_number = !text.empty() && text.front() != '-' &&
                         error == std::errc() && stop == end;
  return is_number ? std::optional(number) : std::nullopt;
}

/// Removes the next line from the text and returns it without its line end.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find(kLineEnd);
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(line.size() + kLineEnd.size());
  return line;
}

/// Values collected from the header fields, each of which may be repeated.
struct Fields {
  bool is_version_1_1 = false;
  std::optional<std::size_t> length;
  bool says_close = false;
  bool says_keep_alive = false;
};

/// Errors: kProtocolMismatch.
Result<int> ParseStatusLine(std::string_view line, Fields& fields) {
  constexpr std::string_view kVersion1 = "HTTP/1.1 ";
  constexpr std::string_view kVersion0 = "HTTP/1.0 ";
  fields.is_version_1_1 = line.starts_with(kVersion1);
  if (!fields.is_version_1_1 && !line.starts_with(kVersion0)) {
    return Malformed("the response is not HTTP/1.0 or HTTP/1.1");
  }
  line.remove_prefix(kVersion1.size());
  const auto status = ParseDigits<int>(line.substr(0, kStatusDigits));
  line.remove_prefix(std::min(line.size(), kStatusDigits));
  const bool is_whole = line.empty() || line.front() == ' ';
  if (!status || !is_whole || *status < kMinFinalStatus ||
      *status > kMaxStatus) {
    return Malformed("the response has no final status (200 to 599)");
  }
  return *status;
}

/// Errors: kProtocolMismatch.
Result<void> ParseLength(std::string_view value, Fields& fields) {
  const auto length = ParseDigits<std::size_t>(value);
  if (!length || *length > kMaxBodyBytes) {
    return Malformed(
        "the response's Content-Length is not a number up to 1 GiB");
  }
  if (fields.length && *fields.length != *length) {
    return Malformed("the response has conflicting Content-Length fields");
  }
  fields.length = length;
  return boost::outcome_v2::success();
}

void ParseConnection(std::string_view value, Fields& fields) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    const std::string_view option = Trim(value.substr(0, comma));
    fields.says_close = fields.says_close || HasName(option, "close");
    fields.says_keep_alive =
        fields.says_keep_alive || HasName(option, "keep-alive");
    value.remove_prefix(comma == std::string_view::npos ? value.size()
                                                        : comma + 1);
  }
}

/// Errors: kProtocolMismatch.
Result<void> ParseField(std::string_view line, Fields& fields) {
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || !IsToken(name) ||
      !std::all_of(line.begin(), line.end(), IsTextByte)) {
    return Malformed("the response has a malformed header field");
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  if (HasName(name, "content-length")) {
    return ParseLength(value, fields);
  }
  if (HasName(name, "transfer-encoding")) {
    return Malformed(
        "the response uses Transfer-Encoding, which is not supported");
  }
  if (HasName(name, "connection")) {
    ParseConnection(value, fields);
  }
  return boost::outcome_v2::success();
}

void AddField(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append(kLineEnd);
}

}  // namespace

std::string FormatRequest(const HttpCall& call) {
  std::size_t bytes = kFixedHeadBytes + call.target.size() + call.body.size();
  for (const Header& header : call.headers) {
    bytes += header.name.size() + header.value.size() + 4;
  }
  std::string out;
  out.reserve(bytes);
  out.append(call.method).append(" ").append(call.target);
  out.append(" HTTP/1.1\r\n");
  // The headers of a call may name a host other than its address.
  const bool names_host = std::any_of(
      call.headers.begin(), call.headers.end(),
      [](const Header& header) { return HasName(header.name, "host"); });
  if (!names_host) {
    AddField(out, "Host", call.address);
  }
  AddField(out, "Connection", "Keep-Alive");
  for (const Header& header : call.headers) {
    AddField(out, header.name, header.value);
  }
  if (!call.body.empty() || call.method == Poco::Net::HTTPRequest::HTTP_POST) {
    AddField(out, "Content-Length", std::to_string(call.body.size()));
  }
  out.append(kLineEnd).append(call.body);
  return out;
}

Result<ResponseHead> ParseResponseHead(std::string_view text) {
  if (!text.ends_with("\r\n\r\n")) {
    return Malformed("the response head is truncated");
  }
  Fields fields;
  BOOST_OUTCOME_TRY(status, ParseStatusLine(TakeLine(text), fields));
  for (auto line = TakeLine(text); !line.empty(); line = TakeLine(text)) {
    BOOST_OUTCOME_TRY(ParseField(line, fields));
  }
  if (!text.empty()) {
    return Malformed("the response head is followed by further bytes");
  }
  if (!fields.length) {
    return Malformed("the response has no Content-Length");
  }
  const bool keep_alive =
      !fields.says_close && (fields.is_version_1_1 || fields.says_keep_alive);
  return ResponseHead{status, *fields.length, keep_alive};
}

}  // namespace basilspread::node
