//! CBOR values and a small HTTP/1.1 server and client, as far as the protocols need them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    U(u64),
    I(i64),
    F(f64),
    T(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

impl V {
    pub fn get(&self, name: &str) -> &V {
        match self {
            V::M(fields) => fields.iter().find(|(key, _)| key == name).map_or(&V::Null, |(_, value)| value),
            _ => &V::Null,
        }
    }
    pub fn u(&self) -> Option<u64> {
        match self {
            V::U(n) => Some(*n),
            V::F(x) if *x >= 0.0 => Some(*x as u64),
            _ => None,
        }
    }
    pub fn f(&self) -> f64 {
        match self {
            V::U(n) => *n as f64,
            V::I(n) => *n as f64,
            V::F(x) => *x,
            _ => 0.0,
        }
    }
    pub fn s(&self) -> &str {
        if let V::T(text) = self { text } else { "" }
    }
    pub fn list(&self) -> &[V] {
        if let V::A(items) = self { items } else { &[] }
    }
    pub fn json(&self) -> String {
        match self {
            V::Null => "null".into(),
            V::Bool(b) => b.to_string(),
            V::U(n) => n.to_string(),
            V::I(n) => n.to_string(),
            V::F(x) => format!("{x:?}"),
            V::T(text) => format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\"")),
            V::A(items) => format!("[{}]", items.iter().map(V::json).collect::<Vec<_>>().join(",")),
            V::M(fields) => {
                let fields: Vec<String> = fields.iter().map(|(k, v)| format!("\"{k}\":{}", v.json())).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

impl From<&str> for V {
    fn from(text: &str) -> V {
        V::T(text.into())
    }
}
impl From<String> for V {
    fn from(text: String) -> V {
        V::T(text)
    }
}
impl From<u64> for V {
    fn from(n: u64) -> V {
        V::U(n)
    }
}
impl From<f64> for V {
    fn from(x: f64) -> V {
        V::F(x)
    }
}
impl From<bool> for V {
    fn from(b: bool) -> V {
        V::Bool(b)
    }
}
impl From<Vec<V>> for V {
    fn from(items: Vec<V>) -> V {
        V::A(items)
    }
}

pub fn map<const N: usize>(fields: [(&str, V); N]) -> V {
    V::M(fields.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}

fn head(out: &mut Vec<u8>, major: u8, n: u64) {
    let major = major << 5;
    match n {
        0..=23 => out.push(major | n as u8),
        24..=0xff => out.extend([major | 24, n as u8]),
        0x100..=0xffff => {
            out.push(major | 25);
            out.extend((n as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(major | 26);
            out.extend((n as u32).to_be_bytes());
        }
        _ => {
            out.push(major | 27);
            out.extend(n.to_be_bytes());
        }
    }
}

pub fn encode(value: &V, out: &mut Vec<u8>) {
    match value {
        V::Null => out.push(0xf6),
        V::Bool(b) => out.push(if *b { 0xf5 } else { 0xf4 }),
        V::U(n) => head(out, 0, *n),
        V::I(n) if *n >= 0 => head(out, 0, *n as u64),
        V::I(n) => head(out, 1, (-1 - *n) as u64),
        V::F(x) => {
            out.push(0xfb);
            out.extend(x.to_be_bytes());
        }
        V::T(text) => {
            head(out, 3, text.len() as u64);
            out.extend(text.as_bytes());
        }
        V::A(items) => {
            head(out, 4, items.len() as u64);
            items.iter().for_each(|item| encode(item, out));
        }
        V::M(fields) => {
            head(out, 5, fields.len() as u64);
            for (key, value) in fields {
                encode(&V::T(key.clone()), out);
                encode(value, out);
            }
        }
    }
}

pub fn bytes(value: &V) -> Vec<u8> {
    let mut out = Vec::new();
    encode(value, &mut out);
    out
}

struct Decoder<'a>(&'a [u8]);

impl Decoder<'_> {
    fn take(&mut self, n: usize) -> Option<&[u8]> {
        if self.0.len() < n {
            return None;
        }
        let (first, rest) = self.0.split_at(n);
        self.0 = rest;
        Some(first)
    }
    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }
    /// Length or number of a head; None inside means indefinite.
    fn number(&mut self, low: u8) -> Option<Option<u64>> {
        Some(Some(match low {
            0..=23 => u64::from(low),
            24 => u64::from(self.byte()?),
            25 => u64::from(u16::from_be_bytes(self.take(2)?.try_into().ok()?)),
            26 => u64::from(u32::from_be_bytes(self.take(4)?.try_into().ok()?)),
            27 => u64::from_be_bytes(self.take(8)?.try_into().ok()?),
            31 => return Some(None),
            _ => return None,
        }))
    }
    fn at_break(&mut self) -> bool {
        if self.0.first() == Some(&0xff) {
            self.0 = &self.0[1..];
            return true;
        }
        false
    }
    fn value(&mut self) -> Option<V> {
        let first = self.byte()?;
        let (major, low) = (first >> 5, first & 31);
        match major {
            0 => Some(V::U(self.number(low)??)),
            1 => Some(V::I(-1 - self.number(low)?? as i64)),
            2 | 3 => match self.number(low)? {
                Some(n) => Some(V::T(String::from_utf8(self.take(n as usize)?.to_vec()).ok()?)),
                None => {
                    let mut text = String::new();
                    while !self.at_break() {
                        text.push_str(self.value()?.s());
                    }
                    Some(V::T(text))
                }
            },
            4 => {
                let mut items = Vec::new();
                match self.number(low)? {
                    Some(n) => {
                        for _ in 0..n {
                            items.push(self.value()?);
                        }
                    }
                    None => {
                        while !self.at_break() {
                            items.push(self.value()?);
                        }
                    }
                }
                Some(V::A(items))
            }
            5 => {
                let mut fields = Vec::new();
                let count = self.number(low)?;
                while count.is_none_or(|n| (fields.len() as u64) < n) {
                    if count.is_none() && self.at_break() {
                        break;
                    }
                    let key = self.value()?;
                    fields.push((key.s().to_string(), self.value()?));
                }
                Some(V::M(fields))
            }
            6 => {
                self.number(low)?;
                self.value()
            }
            _ => match low {
                20 => Some(V::Bool(false)),
                21 => Some(V::Bool(true)),
                22 | 23 => Some(V::Null),
                25 => {
                    let half = u16::from_be_bytes(self.take(2)?.try_into().ok()?);
                    let (sign, exponent, fraction) = (half >> 15, (half >> 10) & 31, f64::from(half & 1023));
                    let value = match exponent {
                        0 => fraction * 2f64.powi(-24),
                        31 => f64::INFINITY,
                        e => (1.0 + fraction / 1024.0) * 2f64.powi(i32::from(e) - 15),
                    };
                    Some(V::F(if sign == 1 { -value } else { value }))
                }
                26 => Some(V::F(f64::from(f32::from_be_bytes(self.take(4)?.try_into().ok()?)))),
                27 => Some(V::F(f64::from_be_bytes(self.take(8)?.try_into().ok()?))),
                _ => None,
            },
        }
    }
}

pub fn decode(body: &[u8]) -> Option<V> {
    if body.is_empty() {
        return Some(V::Null);
    }
    Decoder(body).value()
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub body: Option<V>,
    pub size: usize,
}

impl Request {
    pub fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
    pub fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

/// Status and body; None: no answer, the connection hangs until the client gives up.
pub type Reply = Option<(u16, V)>;
pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves on a free port of 127.0.0.1. While `silent` is set, nothing that arrives is answered.
pub fn serve(silent: Arc<AtomicBool>, handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (silent, handler) = (silent.clone(), handler.clone());
            let _ =
                std::thread::Builder::new().stack_size(256 * 1024).spawn(move || connection(stream, &silent, &handler));
        }
    });
    Ok(address)
}

fn connection(stream: TcpStream, silent: &AtomicBool, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    loop {
        let Some((start, headers, body)) = message(&mut reader) else { return };
        if silent.load(Ordering::SeqCst) {
            return hang(&mut reader);
        }
        let mut words = start.split(' ');
        let (method, target) = (words.next().unwrap_or("").to_string(), words.next().unwrap_or("/"));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query =
            query.split('&').filter_map(|pair| pair.split_once('=')).map(|(k, v)| (k.into(), v.into())).collect();
        let request = Request { method, path: path.into(), query, size: body.len(), body: decode(&body) };
        let Some((status, value)) = handler(request) else { return hang(&mut reader) };
        if silent.load(Ordering::SeqCst) {
            return hang(&mut reader);
        }
        let body = bytes(&value);
        let mut answer =
            format!("HTTP/1.1 {status} X\r\ncontent-type: application/cbor\r\ncontent-length: {}\r\n\r\n", body.len())
                .into_bytes();
        answer.extend(body);
        if writer.write_all(&answer).is_err() || headers.get("connection").is_some_and(|value| value == "close") {
            return;
        }
    }
}

/// Holds a connection open without an answer until the client closes it.
fn hang(reader: &mut BufReader<TcpStream>) {
    let mut buffer = [0; 1024];
    while matches!(reader.read(&mut buffer), Ok(n) if n > 0) {}
}

type Message = (String, BTreeMap<String, String>, Vec<u8>);

fn message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((start.trim_end().to_string(), headers, body))
}

pub struct Answer {
    pub status: u16,
    pub retry_after_s: u64,
    pub body: V,
}

/// One request on a connection of its own.
pub fn call(to: SocketAddr, method: &str, path: &str, body: Option<&V>, limit: Duration) -> Result<Answer, String> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit).map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let body = body.map(bytes).unwrap_or_default();
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/cbor\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend(body);
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = (stream.set_write_timeout(Some(left)), stream.set_read_timeout(Some(left)));
    // The answer may come before the whole request was read, if it is too large.
    let written = stream.write_all(&request).map_err(|error| error.to_string());
    let answer = message(&mut BufReader::new(stream));
    if Instant::now() > until {
        return Err("no response in time".into());
    }
    let Some((start, headers, body)) = answer else { return Err(written.err().unwrap_or("no response".into())) };
    let status = start.split(' ').nth(1).and_then(|text| text.parse().ok()).ok_or("bad status")?;
    let retry_after_s = headers.get("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok(Answer { status, retry_after_s, body: decode(&body).unwrap_or(V::Null) })
}
