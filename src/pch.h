#pragma once

// Precompiled header: the libraries that are slow to parse.
#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
