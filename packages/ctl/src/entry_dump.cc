#include "entry_dump.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <charconv>

#include "http_call.h"

namespace basilspread::ctl {
namespace {

constexpr Duration kDumpTimeout = std::chrono::seconds(2);
constexpr int kStatusOk = 200;

ReportSection ReadSection(const std::string& title,
                          const Poco::JSON::Array& rows) {
  ReportSection section{title, {}};
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto object = rows.getObject(static_cast<unsigned>(i));
    ReportRow row;
    for (const auto& [column, value] : *object) {
      row.emplace_back(column, value.convert<std::string>());
    }
    section.rows.push_back(std::move(row));
  }
  return section;
}

}  // namespace

const std::vector<ReportRow>& EntryDump::Rows(const std::string& title) const {
  static const std::vector<ReportRow> kNone;
  for (const ReportSection& section : this->sections) {
    if (section.title == title) {
      return section.rows;
    }
  }
  return kNone;
}

std::string EntryDump::Node() const {
  const auto& rows = this->Rows("process");
  return rows.empty() ? "" : ValueOf(rows.front(), "node");
}

std::string ValueOf(const ReportRow& row, const std::string& column) {
  for (const auto& [name, value] : row) {
    if (name == column) {
      return value;
    }
  }
  return "-";
}

std::uint64_t NumberOf(const ReportRow& row, const std::string& column) {
  const std::string text = ValueOf(row, column);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Result<EntryDump> ReadDump(const config::Endpoint& admin) {
  BOOST_OUTCOME_TRY(answer, Call(admin, "GET", "/dump.json", "", kDumpTimeout));
  if (answer.status != kStatusOk) {
    return Error{ErrorKind::kOwnerUnreachable,
                 admin.ToString() + ": the answer to /dump.json is not 200 OK"};
  }
  EntryDump dump;
  dump.admin = admin;
  dump.ok = true;
  try {
    Poco::JSON::Parser parser;
    const auto root =
        parser.parse(answer.body).extract<Poco::JSON::Object::Ptr>();
    for (const auto& [title, rows] : *root) {
      dump.sections.push_back(
          ReadSection(title, *rows.extract<Poco::JSON::Array::Ptr>()));
    }
  } catch (const Poco::Exception& exception) {
    return Error{ErrorKind::kOwnerUnreachable,
                 admin.ToString() + ": " + exception.displayText()};
  }
  return dump;
}

Result<std::vector<EntryDump>> ReadDumps(const Arguments& arguments) {
  if (arguments.addresses.admin.empty()) {
    return Error{
        ErrorKind::kBadRequest,
        "addresses for operators are required: --admin, or admin in [cluster]"};
  }
  std::vector<EntryDump> dumps;
  for (const config::Endpoint& admin : arguments.addresses.admin) {
    Result<EntryDump> dump = ReadDump(admin);
    if (dump) {
      dumps.push_back(std::move(dump).value());
      continue;
    }
    EntryDump unreachable;
    unreachable.admin = admin;
    unreachable.error_text = dump.error().detail;
    dumps.push_back(std::move(unreachable));
  }
  return dumps;
}

}  // namespace basilspread::ctl
