#pragma once

#include <cstdint>

namespace bilberryfield {

// Status codes of HTTP that the product sends or understands.
inline constexpr uint16_t kHttpOk = 200;
inline constexpr uint16_t kHttpCreated = 201;
inline constexpr uint16_t kHttpNoContent = 204;
inline constexpr uint16_t kHttpBadRequest = 400;
inline constexpr uint16_t kHttpNotFound = 404;
inline constexpr uint16_t kHttpConflict = 409;
inline constexpr uint16_t kHttpGone = 410;
inline constexpr uint16_t kHttpBadGateway = 502;
inline constexpr uint16_t kHttpUnavailable = 503;
inline constexpr uint16_t kHttpGatewayTimeout = 504;

} // namespace bilberryfield
