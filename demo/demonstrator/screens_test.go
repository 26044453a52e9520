package demonstrator

import (
	"context"
	"io"
	"os/exec"
	"testing"
	"time"

	"github.com/chromedp/chromedp"
	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/grouper"
)

// maxDifferenceShare is the highest share of comparisons in which two pages may show different snapshots: the two pages
// draw the next snapshot at slightly different moments, and a comparison can fall between them.
const maxDifferenceShare = 0.2

// Guards against shared screens that show different snapshots on two hosts, return to an older snapshot, or stay empty in
// a real browser.
func TestScreensOfTwoHostsShowTheSame(t *testing.T) {
	browser, err := exec.LookPath("chromium")
	if err != nil {
		t.Skip("chromium is not installed: the check of the shared screens in a real browser was not run")
	}
	defer asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("%s: %s", name, detail) })()
	d := &demonstration{config: Config{Hosts: 2, Engines: 1, Progress: io.Discard}}
	require.NoError(t, d.build())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	group := grouper.NewGroup(-1)
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = grouper.Supervise(ctx, grouper.Config{}, d.duties...) })
	require.NoError(t, d.apply(ctx))

	options := append(chromedp.DefaultExecAllocatorOptions[:], chromedp.ExecPath(browser), chromedp.NoSandbox,
		chromedp.Flag("disable-background-networking", true), chromedp.Flag("disable-component-update", true), chromedp.Flag("disable-quic", true))
	allocator, stopBrowser := chromedp.NewExecAllocator(ctx, options...)
	defer stopBrowser()
	first, closeFirst := chromedp.NewContext(allocator)
	defer closeFirst()
	openScreens(first, t, d.url(0))
	second, closeSecond := chromedp.NewContext(first)
	defer closeSecond()
	openScreens(second, t, d.url(1))
	comparePages(first, second, t)

	edits, err := chromedp.Run(first, chromedp.Text("#edits"))
	require.NoError(t, err)
	require.Contains(t, edits, "the demo's catalogue")
	require.Contains(t, edits, "2 of 2")
}

func openScreens(page context.Context, t *testing.T, url string) {
	_, err := chromedp.Run(page, chromedp.Navigate(url+"/screens"))
	require.NoError(t, err)
	_, err = chromedp.Run(page, chromedp.Poll[bool](`document.getElementById("number").textContent !== "none"`, chromedp.WithPollingTimeout(20*time.Second)))
	require.NoError(t, err)
}

// screenState is the snapshot that a page shows at one moment: the number on the page and its place in the order of all
// snapshots.
type screenState struct {
	Number string  `json:"number"`
	Order  float64 `json:"order"`
}

func readScreen(page context.Context, t *testing.T) screenState {
	got, err := chromedp.Run(page, chromedp.Evaluate[screenState](
		`({number: document.getElementById("number").textContent, order: shown.epoch * 1e6 + shown.sequence})`))
	require.NoError(t, err)
	return got
}

func comparePages(first, second context.Context, t *testing.T) {
	const comparisons = 40
	var different int
	var last [2]screenState
	for range comparisons {
		now := [2]screenState{readScreen(first, t), readScreen(second, t)}
		for i := range now {
			require.GreaterOrEqual(t, now[i].Order, last[i].Order, "page %d returned to an older snapshot", i)
		}
		if now[0].Number != now[1].Number {
			different++
		}
		last = now
		time.Sleep(70 * time.Millisecond)
	}
	require.LessOrEqual(t, float64(different)/comparisons, maxDifferenceShare)
	require.Positive(t, last[0].Order)
}
