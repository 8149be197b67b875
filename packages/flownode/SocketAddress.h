#pragma once

#include "Packet.h"

#include <arpa/inet.h>
#include <sys/socket.h>

namespace bilberryfield {

/** Converts an endpoint to the address type of the socket API. */
inline sockaddr_in
ToSocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aEndpoint.m_ip);
  address.sin_port = htons(aEndpoint.m_port);
  return address;
}

} // namespace bilberryfield
