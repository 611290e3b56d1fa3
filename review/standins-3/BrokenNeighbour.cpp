// A requester pipelines two safe requests on a kept connection: one for a sound backend, and behind
// it one for a backend that breaks off a few of its answers.

#include "PlainServer.hpp"

#include <map>

namespace {

using namespace review;
using boost::asio::ip::tcp;

constexpr std::size_t kAnswerBytes = 120 * 1000;
constexpr int kRounds = 600;
constexpr int kRequesters = 4;
/// Each of so many answers of the faulty backend is broken off: one in fifty.
constexpr int kBrokenEach = 50;
/// A requester reads so much in each such time: a link of about 13 Mbit/s.
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr milliseconds kReadTime{ 10 };

/// Reads answers at the rate of a slow link.
class Connection
{
public:
  explicit Connection(const Address& aTo)
    : socket_(io_)
  {
    // Links have small windows, so that a peer that does not read blocks the writer.
    constexpr int kWindow = 32 * 1024;
    socket_.open(tcp::v4());
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(kWindow));
    socket_.connect({ boost::asio::ip::make_address(aTo.ip_), aTo.port_ });
  }

  bool Send(const std::string& aText)
  {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(aText), error);
    return !error;
  }

  /// Reads one answer; returns whether it came to its end.
  bool Read()
  {
    std::size_t head = std::string::npos;
    while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!More()) {
        return false;
      }
    }
    const std::string text = buffer_.substr(0, head + 4);
    if (text.find("Transfer-Encoding: chunked") != std::string::npos) {
      std::size_t end = std::string::npos;
      while ((end = buffer_.find("\r\n0\r\n\r\n")) == std::string::npos) {
        if (!More()) {
          return false;
        }
      }
      buffer_.erase(0, end + 7);
      return true;
    }
    const std::size_t at = text.find("Content-Length: ") + 16;
    const std::size_t whole = text.size() + std::stoul(text.substr(at));
    while (buffer_.size() < whole) {
      if (!More()) {
        return false;
      }
    }
    buffer_.erase(0, whole);
    return text.starts_with("HTTP/1.1 200");
  }

private:
  bool More()
  {
    std::this_thread::sleep_for(kReadTime);
    std::string bytes(kReadBytes, 0);
    boost::system::error_code error;
    const std::size_t got = socket_.read_some(boost::asio::buffer(bytes), error);
    buffer_.append(bytes, 0, got);
    return !error;
  }

  boost::asio::io_context io_;
  tcp::socket socket_;
  std::string buffer_;
};

std::string
Request(const std::string& aId, const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 2800\r\n\r\n";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  DeploymentSettings settings;
  settings.name_ = "broken-neighbour";
  settings.manifest_ = ServiceManifest("files", false, "download");
  Json other = ServiceManifest("notes", false);
  other["routes"][0]["name"] = "note";
  other["routes"][0]["pathPrefix"] = "/note/";
  settings.manifest_["routes"].push_back(other["routes"][0]);
  settings.manifest_["services"].push_back(other["services"][0]);
  std::mutex mutex;
  std::map<std::string, bool> answered;
  std::atomic<int> notes{ 0 };
  std::atomic<bool> breaks{ false };
  Deployment deployment(settings);
  deployment.Start(0, "files");
  deployment.Start(1, "notes");
  const auto after = [&](milliseconds aTime, std::function<void()> aTask) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(deployment.Io(), aTime);
    timer->async_wait([timer, task = std::move(aTask)](const auto&) { task(); });
  };
  const auto serve = [&](int aMachine, const std::string& aService, auto aHandle) {
    PlainServerSettings plain;
    plain.id_ = "i-" + std::to_string(aMachine);
    plain.service_ = aService;
    plain.address_ = Deployment::Application(aMachine);
    plain.heartbeats_ = Deployment::ControlPlane(aMachine);
    plain.handle_ = aHandle;
    return std::make_unique<PlainServer>(deployment.Io(), std::move(plain));
  };
  const auto sound = serve(0, "files", [&](const redwing::standins::HttpExchangePtr& aExchange) {
    const std::string id(aExchange->Request().Header("X-Request-Id"));
    record.Add("sound backend runs request " + id);
    after(40ms, [&, aExchange, id] {
      redwing::standins::HttpResponse response;
      response.body_ = std::string(kAnswerBytes, 'x');
      response.headers_ = { { "X-Request-Id", id }, { "X-Server-Signature", "i-0.1" } };
      record.Add("sound backend answers request " + id);
      {
        std::lock_guard lock(mutex);
        answered[id] = true;
      }
      aExchange->Respond(std::move(response));
    });
  });
  const auto faulty = serve(1, "notes", [&](const redwing::standins::HttpExchangePtr& aExchange) {
    const std::string id(aExchange->Request().Header("X-Request-Id"));
    const bool breaksOff = breaks && ++notes % kBrokenEach == 0;
    record.Add("faulty backend runs request " + id + (breaksOff ? ", breaks off its answer" : ""));
    after(5ms, [&, aExchange, id, breaksOff] {
      redwing::standins::HttpResponse response;
      response.headers_ = { { "X-Request-Id", id }, { "X-Server-Signature", "i-1.1" } };
      if (!breaksOff) {
        response.body_ = "whole";
        aExchange->Respond(std::move(response));
        return;
      }
      response.body_ = "not wh";
      aExchange->StartStream(std::move(response));
      after(5ms, [aExchange] { aExchange->Close(); });
    });
  });
  const auto start = Clock::now();
  const auto works = [&](const std::string& aPath) {
    return Call(Deployment::Outbound(0),
                "GET",
                aPath,
                {},
                { { "Host", "desk.example" }, { "X-Request-Id", "ready" } },
                1000ms)
      .Ok();
  };
  while (!works("/look/0") || !works("/note/0")) {
    if (Since(start) > 20000ms) {
      record.Add("the services do not answer", true);
      return kCouldNotRun;
    }
    std::this_thread::sleep_for(100ms);
  }
  std::this_thread::sleep_for(4000ms);
  breaks = Troubled();
  std::atomic<int> lost{ 0 };
  std::atomic<int> rounds{ 0 };
  std::vector<std::thread> requesters;
  for (int i = 0; i < kRequesters; ++i) {
    requesters.emplace_back([&, i] {
      auto connection = std::make_unique<Connection>(Deployment::Outbound(0));
      bool kept = false;
      for (int round = 0; round < kRounds / kRequesters; ++round) {
        const std::string id = std::to_string(i) + "-" + std::to_string(round);
        connection->Send(Request(id + "-file", "/look/1") + Request(id + "-note", "/note/1"));
        const bool file = connection->Read();
        const bool note = file && connection->Read();
        ++rounds;
        record.Add("requester: " + id + "-file " + (file ? "whole" : "not answered") + ", " + id +
                   "-note " + (note ? "whole" : "not answered"));
        if (!file) {
          std::lock_guard lock(mutex);
          lost += kept && answered.contains(id + "-file") ? 1 : 0;
        }
        kept = note;
        if (!note) {
          connection = std::make_unique<Connection>(Deployment::Outbound(0));
        }
      }
    });
  }
  for (std::thread& requester : requesters) {
    requester.join();
  }
  constexpr int kAllowed = 3;
  const bool broken = lost > kAllowed;
  record.Add(std::to_string(rounds) + " rounds; " + std::to_string(lost) +
               " requests were passed on to the sound backend from a kept connection, which was " +
               "closed without their answer; LOST " + (broken ? "is broken" : "holds"),
             true);
  return broken ? kBroken : 0;
}
