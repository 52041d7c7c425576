#include "admin.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

#include "http_server.h"

namespace basilspread::node {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kAdminThreads = 4;

std::string ToJson(const StateReport& report) {
  Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const ReportSection& section : report) {
    Poco::JSON::Array rows;
    for (const ReportRow& row : section.rows) {
      Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
      for (const auto& [name, value] : row) {
        object.set(name, value);
      }
      rows.add(object);
    }
    root.set(section.title, rows);
  }
  std::ostringstream out;
  root.stringify(out, 2);
  return out.str() + "\n";
}

std::vector<std::size_t> ColumnWidths(const ReportSection& section) {
  std::vector<std::size_t> widths;
  for (const ReportRow& row : section.rows) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] =
          std::max({widths[i], row[i].first.size(), row[i].second.size()});
    }
  }
  return widths;
}

std::string ToText(const StateReport& report) {
  std::string text;
  for (const ReportSection& section : report) {
    text += fmt::format("== {}\n", section.title);
    const std::vector<std::size_t> widths = ColumnWidths(section);
    bool is_first = true;
    for (const ReportRow& row : section.rows) {
      std::string names;
      std::string values;
      for (std::size_t i = 0; i < row.size(); ++i) {
        names += fmt::format("{:<{}}  ", row[i].first, widths[i]);
        values += fmt::format("{:<{}}  ", row[i].second, widths[i]);
      }
      text += is_first ? names + "\n" : "";
      text += values + "\n";
      is_first = false;
    }
    text += "\n";
  }
  return text;
}

void Write(HTTPServerResponse& response, const std::string& type,
           const std::string& body) {
  response.setContentType(type);
  response.setContentLength(static_cast<std::streamsize>(body.size()));
  response.send() << body;
}

}  // namespace

Admin::Admin(const config::NodeSettings& node_settings, Post event_hook)
    : settings(node_settings),
      post(std::move(event_hook)),
      pool("admin", 1, kAdminThreads) {}

void Admin::Start() {
  const auto handle = [this](HTTPServerRequest& request,
                             HTTPServerResponse& response) {
    auto call = this->calls.Open();
    this->post(DumpRequested{call.id});
    const StateReport report = call.answer.get();
    if (request.getURI() == "/dump.json") {
      Write(response, "application/json", ToJson(report));
    } else if (request.getURI() == "/dump") {
      Write(response, "text/plain", ToText(report));
    } else {
      response.setStatusAndReason(HTTPServerResponse::HTTP_NOT_FOUND);
      Write(response, "text/plain", "no such page\n");
    }
  };
  this->server =
      MakeHttpServer(this->settings.admin, this->pool, kAdminThreads, handle);
  this->server->start();
}

void Admin::Stop() { this->server->stopAll(false); }

void Admin::Answer(const AnswerDump& answer) {
  this->calls.Answer(answer.call, answer.report);
}

}  // namespace basilspread::node
