/** @file pch.cpp Translation unit of the precompiled header. */
#include "pch.hpp"
