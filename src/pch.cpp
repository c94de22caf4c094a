/** @file pch.cpp Gives the precompiled header a translation unit. */
#include "pch.hpp"
