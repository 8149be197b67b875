#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace bilberryfield {

/** Parses CBOR. Throws a JSON exception for malformed bytes and for values that
 * are nested more deeply than any message of this system. */
nlohmann::json
ParseCbor(std::string_view aBytes);

} // namespace bilberryfield
