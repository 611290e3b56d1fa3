#include "bench/HttpCall.hpp"
#include "bench/Process.hpp"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>
#include <unistd.h>

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using redwing::bench::Call;
using redwing::bench::CallResult;
using redwing::bench::Process;

/// Hostile input against real processes: every case must end in a clear error or a closed
/// connection, and the instance must go on serving.
namespace {

constexpr const char* kToken = "operator-token-1";
const std::string kAuthorization = "Authorization: Bearer demo-bookings-desk\r\n";

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

/// Repeats aCondition until it holds; returns false after a generous time.
template<typename Condition>
bool
Await(Condition&& aCondition)
{
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

/// A store, one instance and its backend server on a loopback address of this process's own.
struct Fleet
{
  Fleet()
  {
    std::filesystem::create_directories(directory_);
    store_.emplace(STORE_STANDIN,
                   std::vector<std::string>{ "--address=" + At(5), "--control-address=" + At(6) },
                   directory_ + "/store.log");
    instance_.emplace(REDWINGD,
                      std::vector<std::string>{ "--instance-id=a",
                                                "--data-centre=braga",
                                                "--callers-address=" + At(1),
                                                "--peers-address=" + At(2),
                                                "--local-address=" + At(3),
                                                "--store-address=" + At(5),
                                                "--fleet-key=0123456789abcdef",
                                                std::string("--operator-token=") + kToken },
                      directory_ + "/instance.log");
    backend_.emplace(BACKEND_STANDIN,
                     std::vector<std::string>{
                       "--address=" + At(4), "--instance-address=" + At(3), "--service=booking" },
                     directory_ + "/backend.log");
    BOOST_REQUIRE(Await([&] { return Put(ReadFile(EXAMPLE), "first").Ok(); }));
    BOOST_REQUIRE(Await([&] { return Serves(); }));
  }

  ~Fleet()
  {
    instance_->Signal(SIGTERM);
    BOOST_TEST(instance_->Wait(20000) == 0);
    std::filesystem::remove_all(directory_);
  }

  std::string At(int aPort) const { return ip_ + ":" + std::to_string(kFirstPort + aPort); }

  redwing::Address Local() const { return { ip_, static_cast<std::uint16_t>(kFirstPort + 3) }; }

  CallResult Put(const std::string& aDocument, const std::string& aOperation)
  {
    return Call(Local(),
                "PUT",
                "/v1/configuration?operation=" + aOperation,
                aDocument,
                { { "Authorization", std::string("Bearer ") + kToken } });
  }

  std::string Configuration()
  {
    return Call(Local(),
                "GET",
                "/v1/configuration",
                {},
                { { "Authorization", std::string("Bearer ") + kToken } })
      .body_;
  }

  /// Sends aBytes to a TCP port, closes the sending side if aEnd, and returns what comes back until
  /// the other side closes or is silent for a while.
  std::string Exchange(int aPort, std::string_view aBytes)
  {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(
      { boost::asio::ip::make_address(ip_), static_cast<std::uint16_t>(kFirstPort + aPort) });
    std::string received;
    boost::asio::async_write(
      socket, boost::asio::buffer(aBytes), [](boost::system::error_code, std::size_t) {});
    boost::asio::async_read(socket,
                            boost::asio::dynamic_buffer(received),
                            [&](boost::system::error_code, std::size_t) { io.stop(); });
    io.run_for(std::chrono::seconds(1));
    return received;
  }

  bool Serves()
  {
    return Exchange(1,
                    "GET /bookings/7 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
                      kAuthorization + "\r\n")
      .starts_with("HTTP/1.1 200 ");
  }

  long Counter(const std::string& aName)
  {
    const std::string text = Call(Local(), "GET", "/metrics").body_;
    const auto at = text.find("\n" + aName + " ");
    return at == std::string::npos ? -1 : std::stol(text.substr(at + aName.size() + 2));
  }

  static constexpr int kFirstPort = 21000;
  // Runs of several worktrees at once must not share ports.
  std::string ip_ =
    "127." + std::to_string(1 + getpid() / 256 % 250) + "." + std::to_string(getpid() % 256) + ".1";
  std::string directory_ =
    (std::filesystem::temp_directory_path() / ("redwing-hostile-" + std::to_string(getpid())))
      .string();
  std::optional<Process> store_;
  std::optional<Process> instance_;
  std::optional<Process> backend_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HostileInput, Fleet)

// Guards against request smuggling and oversized or malformed heads at the callers' port: none of
// them may reach the backend server.
BOOST_AUTO_TEST_CASE(CallersBytes)
{
  const std::string post = "POST /bookings/7 HTTP/1.1\r\nHost: a\r\n" + kAuthorization;
  const std::string hidden = "GET /bookings/8 HTTP/1.1\r\nHost: a\r\n" + kAuthorization + "\r\n";
  const std::vector<std::string> hostile{
    post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + hidden,
    post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
    post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + hidden,
    post + "Content-Length: 4, 5\r\n\r\nabcd" + hidden,
    post + "Content-Length: +4\r\n\r\nabcd" + hidden,
    post + "Content-Length: 99999999999999999999\r\n\r\n" + hidden,
    post + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + hidden,
    post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden,
    post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden,
    post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden,
    post + "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
    post + "Host: b\r\n\r\n" + hidden,
    "GET /bookings/7 HTTP/1.1\r\n" + kAuthorization + "\r\n",
    "GET /bookings/../admin HTTP/1.1\r\nHost: a\r\n" + kAuthorization + "\r\n",
    "GET http://b/bookings/7 HTTP/1.1\r\nHost: a\r\n" + kAuthorization + "\r\n",
    "GET /bookings/7 HTTP/9.9\r\nHost: a\r\n" + kAuthorization + "\r\n",
    post + "X-A: " + std::string(70000, 'a') + "\r\n\r\n",
    post + std::string("X-A: a\0b\r\n\r\n", 12),
    std::string(40000, '\xff') + "\r\n\r\n",
  };
  const long before = Counter("redwing_backend_requests_total");
  for (std::size_t i = 0; i < hostile.size(); ++i) {
    const std::string response = Exchange(1, hostile[i]);
    BOOST_TEST_CONTEXT("request " << i << ": " << response.substr(0, 300))
    {
      BOOST_TEST(response.starts_with("HTTP/1.1 4"));
      // One response only: the hidden request was not read.
      BOOST_TEST(response.find("HTTP/1.1", 1) == std::string::npos);
    }
  }
  BOOST_TEST(Counter("redwing_backend_requests_total") == before);
  BOOST_TEST(Serves());
}

// Guards against operator actions without the token and against bodies or heads beyond the limits.
BOOST_AUTO_TEST_CASE(OperatorRequests)
{
  const std::vector<std::pair<std::string, std::string>> requests{
    { "GET", "/v1/status" },
    { "GET", "/v1/members" },
    { "GET", "/v1/shards?service=booking" },
    { "GET", "/v1/configuration" },
    { "PUT", "/v1/configuration?operation=x" },
    { "POST", "/v1/keys?operation=x" },
    { "DELETE", "/v1/keys/demo-catalogue?operation=x" },
    { "POST", "/v1/data-centres/braga/withdraw?operation=x" },
    { "POST", "/v1/drain?operation=x" },
    { "POST", "/v1/force-shard?operation=x" },
  };
  const std::string configuration = Configuration();
  for (const auto& [method, target] : requests) {
    BOOST_TEST(Call(Local(), method, target, "{}").status_ == 401U);
    BOOST_TEST(
      Call(Local(), method, target, "{}", { { "Authorization", "Bearer wrong" } }).status_ == 401U);
  }
  const std::string head = "PUT /v1/configuration?operation=y HTTP/1.1\r\nHost: a\r\n"
                           "Authorization: Bearer " +
                           std::string(kToken) + "\r\n";
  BOOST_TEST(Exchange(3, head + "Content-Length: 1000001\r\n\r\n").starts_with("HTTP/1.1 413"));
  BOOST_TEST(
    Exchange(3, head + "X: " + std::string(20000, 'a') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
  BOOST_TEST(Configuration() == configuration);
  BOOST_TEST(Serves());
}

// Guards against peers without the fleet key on either transport, and against bytes that end the
// process.
BOOST_AUTO_TEST_CASE(PeersWithoutTheFleetKey)
{
  for (const char* name : { "frame", "datagram" }) {
    for (const auto& entry :
         std::filesystem::directory_iterator(std::string(CORPUS) + "/" + name)) {
      const std::string bytes = ReadFile(entry.path());
      const auto length = static_cast<std::uint32_t>(bytes.size());
      const std::string prefix(reinterpret_cast<const char*>(&length), sizeof(length));
      boost::asio::io_context io;
      udp::socket socket(io, udp::v4());
      const udp::endpoint target(boost::asio::ip::make_address(ip_), kFirstPort + 2);
      socket.send_to(boost::asio::buffer(bytes), target);
      socket.send_to(boost::asio::buffer(std::string(16, '\0') + bytes), target);
      tcp::socket link(io);
      link.connect({ boost::asio::ip::make_address(ip_), kFirstPort + 2 });
      boost::asio::write(link, boost::asio::buffer(prefix + bytes));
    }
  }
  BOOST_TEST(Await([&] { return Counter("redwing_control_datagrams_rejected_total") >= 40; }));
  // The link may be closed at the length prefix or after the failed handshake, never opened.
  BOOST_TEST(Exchange(2, std::string(2000, '\xff')).size() < 1024U);
  BOOST_TEST(Counter("redwing_peer_links_opened_total") == 0);
  BOOST_TEST(Serves());
}

// Guards against a hostile document that is stored, that ends the process, or whose refusal names
// no findings.
BOOST_AUTO_TEST_CASE(ConfigurationDocuments)
{
  std::vector<std::string> documents{
    "", "[]", "null", "{", "\xff\xfe", std::string(1000000, '[')
  };
  for (const char* name :
       { "deep", "deep-open", "duplicate-members", "duplicate-ids", "dangling", "numbers" }) {
    documents.push_back(ReadFile(std::string(CORPUS) + "/configuration/" + name + ".json"));
  }
  std::string many = R"({"version":1,"workspaces":[)";
  while (many.size() < 900000) {
    many += R"({"id":"A B","rate":-1},)";
  }
  documents.push_back(many + "{}]}");
  const std::string before = Configuration();
  for (std::size_t i = 0; i < documents.size(); ++i) {
    const CallResult result = Put(documents[i], "hostile-" + std::to_string(i));
    BOOST_TEST_CONTEXT("document " << i << ": " << result.body_.substr(0, 300))
    {
      BOOST_TEST(result.status_ >= 400U);
      BOOST_TEST(result.status_ < 500U);
      BOOST_TEST(result.body_.find("\"findings\"") != std::string::npos);
    }
  }
  BOOST_TEST(Configuration() == before);
  BOOST_TEST(Serves());
}

BOOST_AUTO_TEST_SUITE_END()
