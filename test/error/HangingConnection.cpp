#include "HttpClient.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace bilberryfield;

namespace {

// A listener whose queue is full drops opening packets, as a partition does.
class FullListener
{
public:
  FullListener()
  {
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    cr_assert_eq(bind(m_listener, generic, length), 0);
    cr_assert_eq(listen(m_listener, 0), 0);
    getsockname(m_listener, generic, &length);
    m_port = ntohs(address.sin_port);
    for (int i = 0; i < 4; ++i) {
      int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      connect(filler, generic, length);
      m_fillers.push_back(filler);
    }
    usleep(50'000);
  }

  ~FullListener()
  {
    for (int filler : m_fillers) {
      close(filler);
    }
    close(m_listener);
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
  int m_listener = -1;
  uint16_t m_port = 0;
  std::vector<int> m_fillers;
};

} // namespace

// A watch may wait for long, but a connection that does not come about has to
// be tried again soon: the path may be back by then.
Test(HangingConnection, EndsLongBeforeTheCall)
{
  FullListener listener;
  HttpClient client({});
  HttpCall call;
  call.m_host = listener.Address();
  call.m_path = "/";
  call.m_timeout = Seconds(10);
  auto start = std::chrono::steady_clock::now();
  HttpResult result = client.SendAndWait(call);
  auto took = std::chrono::steady_clock::now() - start;
  cr_assert(result.m_end == HttpEnd::Refused);
  cr_assert_lt(std::chrono::duration_cast<Milliseconds>(took).count(), 1500);
}
