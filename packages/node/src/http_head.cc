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
/// Room for the fields that every request has.
constexpr std::size_t kFixedBytes = 128;
/// More than a process has memory for; a longer body is a fault.
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 30U;
constexpr int kLeastFinalStatus = 200;
constexpr int kMaxStatus = 599;
constexpr std::size_t kStatusDigits = 3;

Error Malformed(std::string detail) {
  return Error{ErrorKind::kProtocolMismatch, std::move(detail)};
}

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// `name` is in lower case.
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

/// A number of decimal digits and nothing else.
template <typename Number>
std::optional<Number> ParseDigits(std::string_view text) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  const bool is_number = !text.empty() && text.front() != '-' &&
                         error == std::errc() && stop == end;
  return is_number ? std::optional(number) : std::nullopt;
}

/// Takes the next line off the text, without its end.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find(kLineEnd);
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(line.size() + kLineEnd.size());
  return line;
}

/// The fields that are read; further ones may repeat them.
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
    return Malformed("the response is not of HTTP/1");
  }
  line.remove_prefix(kVersion1.size());
  const auto status = ParseDigits<int>(line.substr(0, kStatusDigits));
  line.remove_prefix(std::min(line.size(), kStatusDigits));
  const bool is_whole = line.empty() || line.front() == ' ';
  if (!status || !is_whole || *status < kLeastFinalStatus ||
      *status > kMaxStatus) {
    return Malformed("the response has no final status");
  }
  return *status;
}

/// Errors: kProtocolMismatch.
Result<void> TakeLength(std::string_view value, Fields& fields) {
  const auto length = ParseDigits<std::size_t>(value);
  if (!length || *length > kMaxBodyBytes) {
    return Malformed("the response's Content-Length is not a valid number");
  }
  if (fields.length && *fields.length != *length) {
    return Malformed("the response states two lengths");
  }
  fields.length = length;
  return boost::outcome_v2::success();
}

void TakeConnection(std::string_view value, Fields& fields) {
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
Result<void> TakeField(std::string_view line, Fields& fields) {
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || !IsToken(name) ||
      !std::all_of(line.begin(), line.end(), IsTextByte)) {
    return Malformed("a field of the response is malformed");
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  if (HasName(name, "content-length")) {
    return TakeLength(value, fields);
  }
  if (HasName(name, "transfer-encoding")) {
    return Malformed("the response's body is encoded for transfer");
  }
  if (HasName(name, "connection")) {
    TakeConnection(value, fields);
  }
  return boost::outcome_v2::success();
}

void AddField(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append(kLineEnd);
}

}  // namespace

std::string FormatRequest(const HttpCall& call) {
  std::size_t bytes = kFixedBytes + call.target.size() + call.body.size();
  for (const Header& header : call.headers) {
    bytes += header.name.size() + header.value.size() + 4;
  }
  std::string out;
  out.reserve(bytes);
  out.append(call.method).append(" ").append(call.target);
  out.append(" HTTP/1.1\r\n");
  // A call may name another host than its address.
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
    return Malformed("the response's head is cut");
  }
  Fields fields;
  BOOST_OUTCOME_TRY(status, ParseStatusLine(TakeLine(text), fields));
  for (auto line = TakeLine(text); !line.empty(); line = TakeLine(text)) {
    BOOST_OUTCOME_TRY(TakeField(line, fields));
  }
  if (!text.empty()) {
    return Malformed("bytes follow the response's head");
  }
  if (!fields.length) {
    return Malformed("the response states no length");
  }
  const bool keep_alive =
      !fields.says_close && (fields.is_version_1_1 || fields.says_keep_alive);
  return ResponseHead{status, *fields.length, keep_alive};
}

}  // namespace basilspread::node
