#include "basilspread/clients/worker_client.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <map>
#include <sstream>
#include <utility>

#include "deadline_socket.h"
#include "http.h"
#include "read_body.h"

namespace basilspread::clients {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPResponse;

constexpr Duration kConnectTimeout = std::chrono::seconds(1);

const std::map<std::string, TaskCondition> kConditions = {
    {"running", TaskCondition::kRunning},
    {"succeeded", TaskCondition::kSucceeded},
    {"failed", TaskCondition::kFailed},
    {"stopped", TaskCondition::kStopped}};

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Object MakeAttempt(const TaskAttempt& name) {
  Object object;
  object.set("task", name.task.value);
  object.set("attempt", name.attempt.value);
  return object;
}

Object MakeCommand(const StartTask& command) {
  const TaskStart& start = command.start;
  Object object = MakeAttempt(start.name);
  object.set("op", "start");
  object.set("cpu_millicores", start.reserved.cpu_millicores);
  object.set("memory_mebibytes", start.reserved.memory_mebibytes);
  object.set("accelerators", start.reserved.accelerators);
  object.set("command", start.command);
  return object;
}

Object MakeCommand(const StopTask& command) {
  Object object = MakeAttempt(command.name);
  object.set("op", "stop");
  return object;
}

Object MakeCommand(const CheckpointTask& command) {
  Object object = MakeAttempt(command.name);
  object.set("op", "checkpoint");
  return object;
}

Object MakeCommand(const RenewTasks& command) {
  Array tasks;
  for (const TaskAttempt& name : command.tasks) {
    tasks.add(MakeAttempt(name));
  }
  Object object;
  object.set("op", "renew");
  object.set("tasks", tasks);
  return object;
}

std::string MakeBody(const CallWorker& call, const std::string& holder,
                     Duration time_left) {
  Array commands;
  for (const WorkerCommand& command : call.commands) {
    commands.add(std::visit([](const auto& body) { return MakeCommand(body); },
                            command));
  }
  Object root;
  root.set("holder", holder);
  root.set("epoch", call.epoch.value);
  root.set("lease_ms", ToMilliseconds(call.lease));
  root.set("valid_for_ms", ToMilliseconds(time_left));
  root.set("commands", commands);
  std::ostringstream out;
  root.stringify(out);
  return out.str();
}

ListedTask ReadTask(const Object& object) {
  ListedTask task;
  task.name.task = TaskId{object.getValue<std::string>("task")};
  task.name.attempt = Attempt{object.getValue<std::uint32_t>("attempt")};
  const auto condition =
      kConditions.find(object.getValue<std::string>("state"));
  if (condition == kConditions.end()) {
    throw Poco::DataFormatException(
        "the worker's answer has an unknown task state");
  }
  task.condition = condition->second;
  task.detail = object.optValue<std::string>("detail", "");
  return task;
}

/// Throws Poco::Exception if the answer is malformed.
void ReadAnswer(const std::string& body, int status, WorkerAnswered& answered) {
  Poco::JSON::Parser parser;
  const auto root = parser.parse(body).extract<Object::Ptr>();
  answered.worker_epoch = Epoch{root->getValue<std::uint64_t>("epoch")};
  if (status == HTTPResponse::HTTP_CONFLICT) {
    answered.result = WorkerResult::kFenced;
    return;
  }
  const Array::Ptr tasks = root->getArray("tasks");
  if (status != HTTPResponse::HTTP_OK || tasks.isNull()) {
    throw Poco::DataFormatException("the worker's answer has no list of tasks");
  }
  for (std::size_t i = 0; i < tasks->size(); ++i) {
    answered.tasks.push_back(
        ReadTask(*tasks->getObject(static_cast<unsigned>(i))));
  }
  answered.result = WorkerResult::kAnswered;
}

}  // namespace

WorkerClient::WorkerClient(std::string holder_name, Now clock_hook,
                           OpenResponse response_hook)
    : holder(std::move(holder_name)),
      now(std::move(clock_hook)),
      open_response(std::move(response_hook)) {}

WorkerAnswered WorkerClient::Call(const CallWorker& call) const {
  WorkerAnswered answered;
  answered.worker = call.worker;
  answered.shard = call.shard;
  answered.epoch = call.epoch;
  answered.result = WorkerResult::kNotSent;
  try {
    // Owned by the session's socket.
    auto* const deadline_socket = new DeadlineSocketImpl(this->now);
    Poco::Net::StreamSocket socket(deadline_socket);
    socket.connect(Poco::Net::SocketAddress(call.address),
                   ToTimespan(kConnectTimeout));
    HTTPClientSession session(socket);
    const TimePoint start = this->now();
    if (start >= call.not_after) {
      return answered;
    }
    deadline_socket->SetDeadline(call.deadline);
    Poco::Net::HTTPRequest request("POST", "/commands", "HTTP/1.1");
    const std::string body =
        MakeBody(call, this->holder, call.not_after - start);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    if (this->now() >= call.not_after) {
      return answered;
    }
    answered.result = WorkerResult::kLost;
    session.sendRequest(request) << body;
    HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    const std::string text =
        ReadBody(in, deadline_socket->sockfd(), this->open_response);
    ReadAnswer(text, response.getStatus(), answered);
  } catch (const Poco::Exception&) {
    answered.tasks.clear();
  }
  return answered;
}

}  // namespace basilspread::clients
