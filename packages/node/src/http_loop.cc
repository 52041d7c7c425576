#include "http_loop.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <cerrno>
#include <exception>
#include <limits>
#include <utility>

#include "line_log.h"
#include "listener.h"
#include "thread_usage.h"

namespace basilspread::node {
namespace {

using Poco::Net::PollSet;

constexpr std::string_view kPart = "http";
constexpr int kListenBacklog = 512;
/// Maximum time between two checks of the connection timeouts.
const Poco::Timespan kCheckInterval(0, 500000);

/// Time without accepting after a connection could not be accepted. Polling a
/// listener whose connections cannot be accepted would never wait.
constexpr Duration kAcceptPause = std::chrono::milliseconds(500);

TimePoint Now() { return std::chrono::steady_clock::now(); }

ConnectionUse UseOf(ConnectionPhase phase) {
  switch (phase) {
    case ConnectionPhase::kReading:
      return ConnectionUse::kReceiving;
    case ConnectionPhase::kAnswering:
      return ConnectionUse::kProcessing;
    case ConnectionPhase::kWriting:
      return ConnectionUse::kSending;
    case ConnectionPhase::kIdle:
    case ConnectionPhase::kClosing:
      break;
  }
  return ConnectionUse::kIdle;
}

}  // namespace

std::function<CallId()> NumberCallsAfter(CallId call) {
  return [call]() mutable {
    ++call.value;
    return call;
  };
}

HttpLoop::HttpLoop(const config::Endpoint& endpoint,
                   HttpLimits connection_limits, Hooks event_hooks,
                   ConnectionBudgetPtr connection_budget,
                   ConnectionPort connection_port)
    : address(endpoint),
      limits(connection_limits),
      hooks(std::move(event_hooks)),
      budget(connection_budget ? std::move(connection_budget)
                               : ConnectionBudgetPtr(new ConnectionBudget)),
      port(connection_port) {}

HttpLoop::~HttpLoop() { this->Stop(Duration::zero()); }

void HttpLoop::Start() {
  this->listener = Listen(this->address, kListenBacklog);
  this->listener.setBlocking(false);
  this->wake_socket.Open();
  this->poll_set.add(this->listener, PollSet::POLL_READ);
  this->poll_set.add(this->wake_socket.Get(), PollSet::POLL_READ);
  this->is_listening = true;
  this->thread = std::thread([this] { this->Run(); });
}

void HttpLoop::Answer(CallId call, ResponseMaker make_response) {
  {
    const std::lock_guard lock(this->mutex);
    this->answers.push_back(PendingAnswer{call, std::move(make_response)});
  }
  this->wake_socket.Wake();
}

void HttpLoop::DisableKeepAlive() {
  this->keep_alive_disabled = true;
  this->wake_socket.Wake();
}

void HttpLoop::Drain() {
  this->keep_alive_disabled = true;
  this->draining = true;
  this->wake_socket.Wake();
}

void HttpLoop::Stop(Duration bound) {
  if (!this->thread.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->stop_deadline = Now() + bound;
    this->ending = true;
  }
  this->Drain();
  this->thread.join();
}

void HttpLoop::Run() {
  const NamedThread named("callers");
  while (!this->IsDone()) {
    for (const auto& [socket, mode] : this->poll_set.poll(kCheckInterval)) {
      this->OnReady(socket, mode);
    }
    const bool is_ending = this->ending;
    this->SendAnswers();
    if (is_ending) {
      this->AnswerOpenCalls();
    }
    if (this->draining && this->is_listening) {
      if (!this->accept_again_at) {
        this->poll_set.remove(this->listener);
      }
      this->listener.close();
      this->is_listening = false;
    }
    this->ResumeAccepting();
    this->AnswerLateCalls();
    this->CloseOverdue(ConnectionPhase::kIdle, this->limits.idle_timeout);
    this->CloseOverdue(ConnectionPhase::kReading, this->limits.read_timeout);
    this->CloseOverdue(ConnectionPhase::kWriting, this->limits.write_timeout);
    this->CloseOverdue(ConnectionPhase::kClosing, this->limits.close_timeout);
    this->budget->ReleaseMemory(Now());
  }
  // The process may live on for some time, in which nothing would read from the
  // open connections.
  while (!this->connections.empty()) {
    this->Close(ConnectionPtr(this->connections.begin()->second));
  }
}

bool HttpLoop::HasWork() const {
  for (std::size_t i = 0; i < this->phases.size(); ++i) {
    const bool is_idle = i == static_cast<std::size_t>(ConnectionPhase::kIdle);
    if (!is_idle && !this->phases.at(i).empty()) {
      return true;
    }
  }
  return false;
}

bool HttpLoop::IsDone() {
  const std::lock_guard lock(this->mutex);
  if (!this->stop_deadline) {
    return false;
  }
  return !this->HasWork() || Now() >= *this->stop_deadline;
}

void HttpLoop::OnReady(const Poco::Net::Socket& socket, int mode) {
  if (socket == this->wake_socket.Get()) {
    this->wake_socket.Clear();
    return;
  }
  if (this->is_listening && socket == this->listener) {
    this->Accept();
    return;
  }
  const auto found = this->connections.find(socket);
  if (found == this->connections.end()) {
    return;
  }
  const ConnectionPtr connection = found->second;
  try {
    if ((mode & PollSet::POLL_ERROR) != 0 || connection->account.IsEvicted()) {
      this->Close(connection);
      return;
    }
    if ((mode & PollSet::POLL_WRITE) != 0) {
      this->Write(connection);
    }
    if ((mode & PollSet::POLL_READ) != 0) {
      this->Read(connection);
    }
  } catch (const Poco::Exception&) {
    this->Close(connection);
  } catch (const std::exception& exception) {
    this->CloseAfterError(connection, exception.what());
  }
}

void HttpLoop::CloseAfterError(const ConnectionPtr& connection,
                               const char* reason) {
  Log(LogLevel::kError, kPart,
      "Serving a connection failed unexpectedly; closing it.",
      {{"reason", reason}});
  this->Close(connection);
}

void HttpLoop::Accept() {
  try {
    const Poco::Net::StreamSocket socket = this->listener.acceptConnection();
    if (!this->FreeConnectionSlot(
            static_cast<std::size_t>(socket.impl()->sockfd()))) {
      return;
    }
    const ConnectionPtr connection(
        new HttpConnection(socket, this->budget, this->port));
    this->connections.emplace(socket, connection);
    this->connection_count = this->connections.size();
    this->EnterPhase(connection, ConnectionPhase::kIdle);
    this->Watch(connection);
  } catch (const Poco::Exception& exception) {
    Log(LogLevel::kDebug, kPart, "Accepting a connection failed.",
        {{"reason", exception.displayText()}});
    if (exception.code() == EMFILE || exception.code() == ENFILE) {
      this->PauseAccepting();
    }
  }
}

void HttpLoop::PauseAccepting() {
  this->budget->Admit(std::numeric_limits<std::size_t>::max(), Now());
  this->poll_set.remove(this->listener);
  this->accept_again_at = Now() + kAcceptPause;
}

void HttpLoop::ResumeAccepting() {
  if (this->accept_again_at && Now() >= *this->accept_again_at) {
    this->accept_again_at.reset();
    if (this->is_listening) {
      this->poll_set.add(this->listener, PollSet::POLL_READ);
    }
  }
}

bool HttpLoop::FreeConnectionSlot(std::size_t descriptor) {
  if (this->connections.size() < this->limits.max_connections) {
    return this->budget->Admit(descriptor, Now());
  }
  // Idle connections can be closed at any time, and so can those with an
  // incomplete request and those whose caller was answered before it had sent
  // its request. The requests of all others are being processed.
  for (const ConnectionPhase phase :
       {ConnectionPhase::kClosing, ConnectionPhase::kIdle,
        ConnectionPhase::kReading}) {
    if (!this->ListOf(phase).empty()) {
      this->budget->Report(ConnectionLimit::kConnections);
      this->Close(ConnectionPtr(&this->ListOf(phase).front()));
      return true;
    }
  }
  // Answers that their callers have stopped reading. The connections are
  // removed with their next events, so that the limit is exceeded by one until
  // then.
  if (this->budget->CloseStalled(this->port, Duration::zero(), Now()) > 0) {
    return true;
  }
  this->budget->Report(ConnectionLimit::kConnections);
  return false;
}

void HttpLoop::Read(const ConnectionPtr& connection) {
  if (!connection->Receive() || !connection->Hold(Now())) {
    this->Close(connection);
    return;
  }
  switch (connection->phase) {
    case ConnectionPhase::kIdle:
      this->EnterPhase(connection, ConnectionPhase::kReading);
      this->TakeRequest(connection);
      break;
    case ConnectionPhase::kReading:
      this->TakeRequest(connection);
      break;
    case ConnectionPhase::kClosing:
      connection->DropInput();
      break;
    case ConnectionPhase::kAnswering:
    case ConnectionPhase::kWriting:
      this->Watch(connection);
      break;
  }
}

void HttpLoop::TakeRequest(const ConnectionPtr& connection) {
  auto taken = connection->TakeRequest(this->limits.max_body_bytes);
  if (!taken) {
    this->Refuse(connection, taken.error());
    return;
  }
  if (!taken.value()) {
    // The output may hold a "100 Continue".
    connection->Flush();
    this->Watch(connection);
    return;
  }
  if (!connection->account.Use(ConnectionUse::kProcessing, Now())) {
    // Another thread has chosen it to be closed; nothing has been started. From
    // here on, none can.
    this->Close(connection);
    return;
  }
  if (this->ending) {
    // The control thread has ended and would not answer.
    connection->Answer(*MakeErrorResponse(ErrorKind::kStopping, ""), false);
    this->EnterPhase(connection, ConnectionPhase::kWriting);
    this->Write(connection);
    return;
  }
  connection->call = this->hooks.number_call();
  this->calls.emplace(connection->call, connection);
  this->EnterPhase(connection, ConnectionPhase::kAnswering);
  this->Watch(connection);
  try {
    this->hooks.on_request(connection->call, *taken.value());
  } catch (const std::exception& exception) {
    Log(LogLevel::kError, kPart, "A request failed unexpectedly.",
        {{"reason", exception.what()}});
    this->SendAnswer(connection->call, [] {
      return MakeErrorResponse(ErrorKind::kInternal, "");
    });
  }
}

void HttpLoop::Refuse(const ConnectionPtr& connection, const Error& error) {
  connection->Answer(*MakeErrorResponse(error.kind, error.detail), false);
  connection->DropInput();
  connection->Hold(Now());
  this->budget->Report(ConnectionLimit::kMessage);
  this->EnterPhase(connection, ConnectionPhase::kClosing);
  connection->Flush();
  connection->socket.shutdownSend();
  this->Watch(connection);
}

void HttpLoop::SendAnswers() {
  std::vector<PendingAnswer> pending;
  {
    const std::lock_guard lock(this->mutex);
    pending.swap(this->answers);
  }
  for (const PendingAnswer& answer : pending) {
    this->SendAnswer(answer.call, answer.make_response);
  }
}

void HttpLoop::SendAnswer(CallId call, const ResponseMaker& make_response) {
  const auto found = this->calls.find(call);
  if (found == this->calls.end()) {
    return;
  }
  const ConnectionPtr connection = found->second;
  this->calls.erase(found);
  try {
    connection->Answer(*make_response(), !this->keep_alive_disabled);
    this->EnterPhase(connection, ConnectionPhase::kWriting);
    connection->Hold(Now());
    this->Write(connection);
  } catch (const Poco::Exception&) {
    this->Close(connection);
  } catch (const std::exception& exception) {
    this->CloseAfterError(connection, exception.what());
  }
}

void HttpLoop::AnswerOpenCalls() {
  // The control thread has ended with the events of these calls in its queue,
  // or without answering them.
  while (!this->calls.empty()) {
    this->SendAnswer(this->calls.begin()->first, [] {
      return MakeErrorResponse(ErrorKind::kOutcomeUnknown, "");
    });
  }
}

void HttpLoop::AnswerLateCalls() {
  if (this->limits.answer_timeout == Duration::zero()) {
    return;
  }
  const TimePoint began_before = Now() - this->limits.answer_timeout;
  ConnectionList& open = this->ListOf(ConnectionPhase::kAnswering);
  while (!open.empty() && open.front().phase_began < began_before) {
    const CallId call = open.front().call;
    this->SendAnswer(call, this->hooks.make_late_answer);
    this->hooks.on_disconnect(call);
  }
}

void HttpLoop::Write(const ConnectionPtr& connection) {
  const std::size_t pending = connection->PendingOutput();
  const bool is_flushed = connection->Flush();
  if (connection->PendingOutput() < pending) {
    connection->account.Use(UseOf(connection->phase), Now());
  }
  if (!is_flushed || connection->phase != ConnectionPhase::kWriting) {
    this->Watch(connection);
    return;
  }
  if (!connection->KeepsAlive()) {
    this->Close(connection);
    return;
  }
  this->EnterPhase(connection, ConnectionPhase::kIdle);
  this->Watch(connection);
  connection->Hold(Now());
  if (connection->HasInput()) {
    // The caller pipelined its next request.
    this->EnterPhase(connection, ConnectionPhase::kReading);
    this->TakeRequest(connection);
  }
}

void HttpLoop::EnterPhase(const ConnectionPtr& connection,
                          ConnectionPhase phase) {
  if (connection->is_linked()) {
    connection->unlink();
  }
  connection->phase = phase;
  connection->phase_began = Now();
  connection->account.Use(UseOf(phase), connection->phase_began);
  this->ListOf(phase).push_back(*connection);
}

void HttpLoop::Watch(const ConnectionPtr& connection) {
  // While a request is being answered, the socket is read only to detect that
  // the caller closes it. Reading stops at the first input beyond the request,
  // so that the kernel's buffer bounds further input.
  const bool is_answered = connection->phase == ConnectionPhase::kAnswering ||
                           connection->phase == ConnectionPhase::kWriting;
  const bool has_overflow = is_answered && connection->HasInput();
  int mode = PollSet::POLL_ERROR;
  mode |= has_overflow ? 0 : PollSet::POLL_READ;
  mode |= connection->HasOutput() ? PollSet::POLL_WRITE : 0;
  if (connection->poll_mode == 0) {
    this->poll_set.add(connection->socket, mode);
  } else if (connection->poll_mode != mode) {
    this->poll_set.update(connection->socket, mode);
  }
  connection->poll_mode = mode;
}

void HttpLoop::Close(const ConnectionPtr& connection) {
  if (connection->poll_mode != 0) {
    this->poll_set.remove(connection->socket);
    connection->poll_mode = 0;
  }
  if (connection->is_linked()) {
    connection->unlink();
  }
  if (this->calls.erase(connection->call) > 0) {
    this->hooks.on_disconnect(connection->call);
  }
  connection->account.Close();
  this->connections.erase(connection->socket);
  this->connection_count = this->connections.size();
  connection->socket.close();
}

void HttpLoop::CloseOverdue(ConnectionPhase phase, Duration timeout) {
  ConnectionList& list = this->ListOf(phase);
  const TimePoint began_before = Now() - timeout;
  while (!list.empty() && list.front().phase_began < began_before) {
    this->Close(ConnectionPtr(&list.front()));
  }
}

ConnectionList& HttpLoop::ListOf(ConnectionPhase phase) {
  return this->phases.at(static_cast<std::size_t>(phase));
}

}  // namespace basilspread::node
