#include "plot.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>

namespace valedrum::lab {
namespace {

constexpr double kWidth = 560, kHeight = 240, kLeft = 56, kRight = 12, kTop = 28, kBottom = 56;
constexpr const char* kColours[] = {"#1f5fa8", "#c4472b", "#2e8540", "#7a3e9d",
                                    "#b07b00", "#00838f", "#5d5d5d", "#ad1457"};

std::string number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

std::string coordinate(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.1f", value);
  return text;
}

// A step of 1, 2 or 5 times a power of ten, some five to the whole.
double step(double span) {
  const double power = std::pow(10, std::floor(std::log10(span / 5)));
  for (const double times : {1.0, 2.0, 5.0}) {
    if (span / (power * times) <= 6) return power * times;
  }
  return power * 10;
}

struct Extent {
  double low = std::numeric_limits<double>::infinity(), high = -low;
  void take(double v) {
    if (!std::isfinite(v)) return;
    low = std::min(low, v);
    high = std::max(high, v);
  }
  void settle() {
    if (low > high) low = 0, high = 1;
    if (low == high) high = low + std::max(1.0, std::abs(low));
  }
};

}  // namespace

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '>') {
      out += "&gt;";
    } else if (c == '&') {
      out += "&amp;";
    } else if (c == '"') {
      out += "&quot;";
    } else {
      out += c;
    }
  }
  return out;
}

std::string to_svg(const Plot& plot) {
  const auto scaled = [&](double v) { return plot.log_x ? std::log10(std::max(v, 1e-9)) : v; };
  Extent xs, ys;
  if (plot.from_zero) ys.take(0);
  for (const Line& line : plot.lines) {
    for (const auto& [px, py] : line.points) {
      xs.take(scaled(px));
      ys.take(py);
    }
    for (const auto& [low, high] : line.bounds) {
      ys.take(low);
      ys.take(high);
    }
  }
  xs.settle();
  ys.settle();
  const auto at_x = [&](double v) {
    return kLeft + (scaled(v) - xs.low) / (xs.high - xs.low) * (kWidth - kLeft - kRight);
  };
  const auto at_y = [&](double v) {
    return kHeight - kBottom - (v - ys.low) / (ys.high - ys.low) * (kHeight - kTop - kBottom);
  };
  const auto text = [](double px, double py, const std::string& anchor, const std::string& what,
                       const std::string& more = "") {
    return "<text x='" + coordinate(px) + "' y='" + coordinate(py) + "' text-anchor='" + anchor + "'" + more +
           ">" + escaped(what) + "</text>\n";
  };
  std::string svg = "<svg viewBox='0 0 " + number(kWidth) + " " + number(kHeight) + "' role='img'>\n<title>" +
                    escaped(plot.title) + "</title>\n";
  svg += text(kLeft, 16, "start", plot.title, " class='title'");
  const double dy = step(ys.high - ys.low);
  for (double y = std::ceil(ys.low / dy) * dy; y <= ys.high + dy * 1e-6; y += dy) {
    const std::string v = coordinate(at_y(y));
    svg += "<line class='grid' x1='" + number(kLeft) + "' x2='" + number(kWidth - kRight) + "' y1='" + v +
           "' y2='" + v + "'/>\n";
    svg += text(kLeft - 6, at_y(y) + 4, "end", number(std::abs(y) < dy * 1e-6 ? 0 : y));
  }
  if (plot.log_x) {
    for (const auto& [px, py] :
         plot.lines.empty() ? std::vector<std::pair<double, double>>{} : plot.lines.front().points) {
      svg += text(at_x(px), kHeight - kBottom + 16, "middle", number(px));
    }
  } else {
    const double dx = step(xs.high - xs.low);
    for (double x = std::ceil(xs.low / dx) * dx; x <= xs.high + dx * 1e-6; x += dx) {
      svg += text(at_x(x), kHeight - kBottom + 16, "middle", number(std::abs(x) < dx * 1e-6 ? 0 : x));
    }
  }
  svg += text(kWidth - kRight, kHeight - kBottom + 30, "end", plot.x);
  svg += text(kWidth - kRight, 16, "end", plot.y);
  double legend = kLeft;
  for (std::size_t i = 0; i < plot.lines.size(); ++i) {
    const Line& line = plot.lines[i];
    const std::string colour = kColours[i % std::size(kColours)];
    std::string points;
    for (const auto& [px, py] : line.points) {
      if (std::isfinite(py)) points += coordinate(at_x(px)) + "," + coordinate(at_y(py)) + " ";
    }
    svg += "<polyline fill='none' stroke='" + colour + "' stroke-width='1.5' points='" + points + "'/>\n";
    for (std::size_t p = 0; p < line.bounds.size() && p < line.points.size(); ++p) {
      const auto& [low, high] = line.bounds[p];
      if (!std::isfinite(low) || !std::isfinite(high)) continue;
      const std::string px = coordinate(at_x(line.points[p].first));
      svg += "<line stroke='" + colour + "' x1='" + px + "' x2='" + px + "' y1='" + coordinate(at_y(low)) +
             "' y2='" + coordinate(at_y(high)) + "'/>\n";
    }
    svg += "<rect x='" + coordinate(legend) + "' y='" + coordinate(kHeight - 18) +
           "' width='10' height='10' fill='" + colour + "'/>\n";
    svg += text(legend + 14, kHeight - 9, "start", line.name);
    legend += 26 + 6.6 * static_cast<double>(line.name.size());
  }
  return svg + "</svg>\n";
}

std::string page(const std::string& title, const std::string& body) {
  return "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'><title>" + escaped(title) +
         "</title>\n<style>\n"
         "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1180px;padding:0 "
         "1em;color:#222}\n"
         "h1{font-size:1.4em}h2{font-size:1.1em;margin-top:1.6em}\n"
         "table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid "
         "#ddd;text-align:right}\n"
         "td:first-child,th:first-child{text-align:left}\n"
         ".plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(460px,1fr));gap:1em}\n"
         "svg{width:100%;background:#fafafa;border:1px solid #e4e4e4}svg text{font:11px "
         "sans-serif;fill:#444}\n"
         "svg .title{font-weight:600;font-size:12px}.grid{stroke:#e0e0e0}\n"
         ".bad{color:#b00020;font-weight:600}pre{overflow:auto;background:#f4f4f4;padding:.8em}\n"
         "</style></head><body>\n" +
         body + "</body></html>\n";
}

}  // namespace valedrum::lab
