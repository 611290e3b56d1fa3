// A requester pipelines downloads on a kept connection and reads the answers a little later.

#include "PlainServer.hpp"

#include <map>

namespace {

using namespace review;
using boost::asio::ip::tcp;

constexpr std::size_t kAnswerBytes = 240 * 1000;
constexpr int kPipelined = 8;
constexpr int kConnections = 3;
constexpr milliseconds kPause{ 1200 };

/// Time after which the backend answers a request, by its place in the pipeline.
milliseconds
WorkOf(int aPlace)
{
  switch (aPlace) {
    case 0:
      return 50ms;
    case 1:
      return 500ms;
    case kPipelined - 1:
      return 700ms;
    default:
      return 100ms;
  }
}

struct Whole
{
  std::string id_;
  bool whole_ = false;
};

class Connection
{
public:
  explicit Connection(const Address& aTo)
    : socket_(io_)
  {
    // Links have small windows, so that a peer that does not read blocks the writer.
    constexpr int kWindow = 64 * 1024;
    socket_.open(tcp::v4());
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(kWindow));
    socket_.connect({ boost::asio::ip::make_address(aTo.ip_), aTo.port_ });
  }

  void Send(const std::string& aText) { boost::asio::write(socket_, boost::asio::buffer(aText)); }

  /// Reads one answer; returns its id, and whether it was read to its end.
  Whole Read()
  {
    Whole answer;
    boost::system::error_code error;
    const std::size_t head =
      boost::asio::read_until(socket_, boost::asio::dynamic_buffer(buffer_), "\r\n\r\n", error);
    if (error) {
      return answer;
    }
    const std::string text = buffer_.substr(0, head);
    buffer_.erase(0, head);
    answer.id_ = Field(text, "X-Request-Id: ");
    const std::size_t length = std::stoul(Field(text, "Content-Length: "));
    if (buffer_.size() < length) {
      boost::asio::read(socket_,
                        boost::asio::dynamic_buffer(buffer_),
                        boost::asio::transfer_exactly(length - buffer_.size()),
                        error);
    }
    answer.whole_ = !error && text.starts_with("HTTP/1.1 200") && buffer_.size() >= length;
    buffer_.erase(0, std::min(length, buffer_.size()));
    return answer;
  }

private:
  static std::string Field(const std::string& aHead, const std::string& aName)
  {
    const std::size_t at = aHead.find(aName);
    if (at == std::string::npos) {
      return "0";
    }
    const std::size_t begin = at + aName.size();
    return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
  }

  boost::asio::io_context io_;
  tcp::socket socket_;
  std::string buffer_;
};

std::string
Request(const std::string& aId, int aPlace)
{
  return "GET /look/" + std::to_string(aPlace) +
         " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 2800\r\n\r\n";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  DeploymentSettings settings;
  settings.name_ = "slow-reader";
  settings.manifest_ = ServiceManifest("files", false, "download");
  std::mutex mutex;
  std::map<std::string, std::string> answered;
  Deployment deployment(settings);
  deployment.Start(0, "files");
  PlainServerSettings plain;
  plain.id_ = "i-0";
  plain.service_ = "files";
  plain.address_ = Deployment::Application(0);
  plain.heartbeats_ = Deployment::ControlPlane(0);
  plain.handle_ = [&](const redwing::standins::HttpExchangePtr& aExchange) {
    const std::string id(aExchange->Request().Header("X-Request-Id"));
    const std::string place = aExchange->Request().path_.substr(std::string("/look/").size());
    record.Add("server runs request " + id);
    const milliseconds work = place == "first" ? 20ms : WorkOf(std::stoi(place));
    const auto timer = std::make_shared<boost::asio::steady_timer>(deployment.Io(), work);
    timer->async_wait([&, timer, aExchange, id](const auto&) {
      redwing::standins::HttpResponse response;
      response.body_ = std::string(kAnswerBytes, 'x');
      response.headers_ = { { "X-Request-Id", id }, { "X-Server-Signature", "i-0.1" } };
      record.Add("server answers request " + id + (aExchange->Open() ? "" : ", which is closed"));
      {
        std::lock_guard lock(mutex);
        answered[id] = aExchange->Open() ? "yes" : "closed";
      }
      aExchange->Respond(std::move(response));
    });
  };
  PlainServer server(deployment.Io(), std::move(plain));
  const auto start = Clock::now();
  const auto first = [&] {
    return Call(Deployment::Outbound(0),
                "GET",
                "/look/first",
                {},
                { { "Host", "desk.example" }, { "X-Request-Id", "ready" } },
                1000ms)
      .Ok();
  };
  while (!Deployment::IsReady(0) || !first()) {
    if (Since(start) > 15000ms) {
      record.Add("the service does not answer", true);
      return kCouldNotRun;
    }
    std::this_thread::sleep_for(100ms);
  }
  std::this_thread::sleep_for(4000ms);
  int lost = 0;
  for (int i = 0; i < kConnections; ++i) {
    const std::string name = "c" + std::to_string(i) + "-";
    Connection connection(Deployment::Outbound(0));
    connection.Send(Request(name + "first", 0));
    if (!connection.Read().whole_) {
      record.Add("the first request of a connection was not served", true);
      return kCouldNotRun;
    }
    std::string text;
    for (int place = 0; place < kPipelined; ++place) {
      text += Request(name + std::to_string(place), place);
    }
    record.Add("requester sends " + std::to_string(kPipelined) + " requests " + name + "0 to " +
               name + std::to_string(kPipelined - 1));
    connection.Send(text);
    if (Troubled()) {
      std::this_thread::sleep_for(kPause);
    }
    int whole = 0;
    for (int place = 0; place < kPipelined; ++place) {
      const Whole answer = connection.Read();
      record.Add("requester reads the answer to " + name + std::to_string(place) + ": " +
                 (answer.whole_ ? "whole" : "none or not whole"));
      whole += answer.whole_ ? 1 : 0;
      if (!answer.whole_) {
        break;
      }
    }
    std::this_thread::sleep_for(1000ms);
    std::lock_guard lock(mutex);
    int passed = 0;
    for (int place = 0; place < kPipelined; ++place) {
      passed += answered.contains(name + std::to_string(place)) ? 1 : 0;
    }
    record.Add("connection " + std::to_string(i) + ": " + std::to_string(passed) +
                 " requests were passed on, " + std::to_string(whole) + " answers came",
               true);
    lost += passed - whole;
  }
  constexpr int kAllowed = 3;
  const bool broken = lost > kAllowed;
  record.Add(std::to_string(lost) +
               " requests were passed on to the backend and their connection " +
               "was closed without an answer; LOST " + (broken ? "is broken" : "holds"),
             true);
  return broken ? kBroken : 0;
}
